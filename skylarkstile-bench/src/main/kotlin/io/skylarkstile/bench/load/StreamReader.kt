/*
 * Reads the server-sent events of one answer and takes the times between tokens.
 */
package io.skylarkstile.bench.load

/** Follows one stream whose request was meant to start at [intended] (nanoseconds). */
internal class StreamReader(
    private val intended: Long,
) {
    private var rest = ""
    private var lastAt = 0L
    private var done = false

    var tokens = 0
        private set
    var firstMs: Double? = null
        private set
    var largestGapMs = 0.0
        private set
    var error: String? = null
        private set

    fun accept(
        text: String,
        now: Long,
    ) {
        rest += text
        while (true) {
            val end = rest.indexOf("\n\n")
            if (end < 0) return
            event(rest.substring(0, end), now)
            rest = rest.substring(end + 2)
        }
    }

    /** Returns whether the stream ended as it should after [expected] tokens. */
    fun isWhole(expected: Int): Boolean = done && tokens == expected

    private fun event(
        text: String,
        now: Long,
    ) {
        if (text.startsWith("event: error")) {
            error = CODE.find(text)?.groupValues?.get(1) ?: "error"
            return
        }
        val data = text.removePrefix("data:").trim()
        if (data == "[DONE]") done = true
        val index = TOKEN.find(data)?.groupValues?.get(1) ?: return
        if (index.toInt() != tokens) error = "token-order"
        if (tokens == 0) firstMs = (now - intended) / NANOS_PER_MS else largestGapMs = maxOf(largestGapMs, (now - lastAt) / NANOS_PER_MS)
        lastAt = now
        tokens++
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000.0
        val CODE = Regex("problem:([a-z-]+)")
        val TOKEN = Regex("\"t(\\d+)-")
    }
}
