/*
 * Records the requests that a stand-in received, so that a test can check that no target receives a caller's key (promise 4 of the design).
 */
package io.skylarkstile.standin.http

import io.skylarkstile.transport.http.HttpRequest
import kotlinx.serialization.Serializable

/** Represents the response of `GET /control/received`. */
@Serializable
internal data class ReceivedView(
    /** Number of requests received since the start. */
    val total: Long,
    /** Number of requests dropped from the bounded log. */
    val dropped: Long,
    /** Number of requests that contain the searched text; without one, of all requests in the log. */
    val matches: Long,
    /** Whether [matches] covers all requests since the start, because none had been dropped when the text was first searched. */
    val complete: Boolean,
    /** Heads and bodies of the newest matching requests. */
    val requests: List<String>,
)

/**
 * Keeps the newest requests up to [maxBytes] in total. Once a text has been searched, each new request is checked for it on arrival, so
 * its count stays exact even after matching requests are dropped.
 */
internal class ReceivedLog(
    private val maxBytes: Int = 8 * 1_048_576,
) {
    private val lock = Any()
    private val kept = ArrayDeque<String>()
    private val searched = HashMap<String, Search>()
    private var bytes = 0L
    private var total = 0L

    private class Search(
        val complete: Boolean,
        var matches: Long,
    )

    /** Adds the request line, all header fields and the body of [request]. */
    fun add(request: HttpRequest) {
        val head = request.headers.fields.joinToString("") { (name, value) -> "$name: $value\n" }
        val text = "${request.method} ${request.rawUri}\n$head\n${request.body.toString(Charsets.ISO_8859_1)}"
        synchronized(lock) {
            total++
            searched.forEach { (wanted, search) -> if (wanted in text) search.matches++ }
            kept.addLast(text)
            bytes += text.length
            while (bytes > maxBytes && kept.size > 1) bytes -= kept.removeFirst().length
        }
    }

    /** Returns the requests that contain [text], or all requests in the log if it is `null`. */
    fun search(text: String?): ReceivedView = synchronized(lock) {
        val dropped = total - kept.size
        val matching = if (text == null) kept.toList() else kept.filter { text in it }
        val search = Search(dropped == 0L, matching.size.toLong())
        val counted = if (text == null) search else searched.getOrPut(text) { search }
        ReceivedView(total, dropped, counted.matches, counted.complete, matching.takeLast(MAX_SHOWN))
    }
}

private const val MAX_SHOWN = 200
