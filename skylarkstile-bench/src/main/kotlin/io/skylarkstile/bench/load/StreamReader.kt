/*
 * Parses the server-sent events of one response and measures the times between tokens.
 */
package io.skylarkstile.bench.load

/** Parses one stream whose request was scheduled to start at [intended], in nanoseconds. */
internal class StreamReader(
    private val intended: Long,
) {
    private var buffer = ""
    private var lastAt = 0L
    private var isDone = false

    var tokens = 0
        private set
    var firstMs: Double? = null
        private set
    var largestGapMs = 0.0
        private set
    var error: String? = null
        private set

    /** Adds the next part of the stream, which arrived at [now] (nanoseconds). */
    fun accept(
        text: String,
        now: Long,
    ) {
        buffer += text
        while (true) {
            val end = buffer.indexOf("\n\n")
            if (end < 0) return
            handleEvent(buffer.substring(0, end), now)
            buffer = buffer.substring(end + 2)
        }
    }

    /** Returns whether the stream ended with `[DONE]` after exactly [expected] tokens. */
    fun isComplete(expected: Int): Boolean = isDone && tokens == expected

    private fun handleEvent(
        text: String,
        now: Long,
    ) {
        if (text.startsWith("event: error")) {
            error = CODE.find(text)?.groupValues?.get(1) ?: "error"
            return
        }
        val data = text.removePrefix("data:").trim()
        if (data == "[DONE]") isDone = true
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
