/*
 * What a stand-in received, so that a test can search it for keys (promise 4: no target sees a caller's key).
 */
package io.skylarkstile.standin.http

import io.skylarkstile.transport.http.HttpRequest
import kotlinx.serialization.Serializable

/** Answer of `GET /control/received`. */
@Serializable
internal data class ReceivedView(
    /** Requests received since the start. */
    val total: Long,
    /** Requests that left the bounded log; a search does not cover them. */
    val dropped: Long,
    /** Kept requests that contain the searched text. */
    val matches: Int,
    /** Heads and bodies of the newest matching requests. */
    val requests: List<String>,
)

/** Keeps the newest requests whole, up to [maxBytes] in all. */
internal class ReceivedLog(
    private val maxBytes: Int = 8 * 1_048_576,
) {
    private val lock = Any()
    private val kept = ArrayDeque<String>()
    private var bytes = 0L
    private var total = 0L

    /** Adds the request line, all header fields and the body of [request]. */
    fun add(request: HttpRequest) {
        val head = request.headers.fields.joinToString("") { (name, value) -> "$name: $value\n" }
        val text = "${request.method} ${request.rawUri}\n$head\n${request.body.toString(Charsets.ISO_8859_1)}"
        synchronized(lock) {
            total++
            kept.addLast(text)
            bytes += text.length
            while (bytes > maxBytes && kept.size > 1) bytes -= kept.removeFirst().length
        }
    }

    /** Returns the kept requests that contain [text], all of them when it is `null`. */
    fun search(text: String?): ReceivedView = synchronized(lock) {
        val matching = if (text == null) kept.toList() else kept.filter { text in it }
        ReceivedView(total, total - kept.size, matching.size, matching.takeLast(MAX_SHOWN))
    }
}

private const val MAX_SHOWN = 200
