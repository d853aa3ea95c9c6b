/*
 * Messages of the HTTP/1.1 server and client. Request bodies are fully buffered (limited by the settings);
 * response bodies are flows, so that an event stream is forwarded as it arrives.
 */
package io.skylarkstile.transport.http

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flowOf
import java.io.ByteArrayOutputStream

/** Holds header fields in order; field names are case-insensitive. */
data class HttpHeaders(
    val fields: List<Pair<String, String>> = emptyList(),
) {
    /** Returns the first value of [name]. */
    operator fun get(name: String): String? = fields.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second

    /** Returns all values of [name]. */
    fun all(name: String): List<String> = fields.filter { it.first.equals(name, ignoreCase = true) }.map { it.second }

    operator fun plus(field: Pair<String, String>): HttpHeaders = HttpHeaders(fields + field)
}

/** Creates [HttpHeaders] from name and value pairs. */
fun headersOf(vararg fields: Pair<String, String>): HttpHeaders = HttpHeaders(fields.toList())

/** Describes one request; [path] is without the query, [query] holds the decoded parameters. */
class HttpRequest(
    val method: String,
    val path: String,
    val query: Map<String, String> = emptyMap(),
    val headers: HttpHeaders = HttpHeaders(),
    val body: ByteArray = ByteArray(0),
    /** The path with the query as the caller sent it. */
    val rawUri: String = path,
    /** All values of each query parameter. */
    val queryLists: Map<String, List<String>> = query.mapValues { listOf(it.value) },
)

/** Describes one response. Its body can be collected only once. */
class HttpAnswer(
    val status: Int,
    val headers: HttpHeaders,
    val body: Flow<ByteArray>,
    /** Body length in bytes, if known; otherwise the body is sent with chunked encoding. */
    val length: Long? = null,
)

/** Creates a response with a complete body in memory. */
fun wholeAnswer(
    status: Int,
    contentType: String,
    body: ByteArray,
    headers: HttpHeaders = HttpHeaders(),
): HttpAnswer = HttpAnswer(status, headers + ("content-type" to contentType), flowOf(body), body.size.toLong())

/** Returns the complete body; throws [HttpBodyException] when it ends early or is longer than [limit] bytes. */
suspend fun HttpAnswer.bytes(limit: Int = 16 * 1_048_576): ByteArray {
    val out = ByteArrayOutputStream()
    body.collect {
        if (out.size() + it.size > limit) throw HttpBodyException("the body is longer than $limit bytes")
        out.write(it)
    }
    return out.toByteArray()
}

/** Handles the requests of one server. An exception becomes a 500 response, or closes the connection if the response has started. */
fun interface HttpHandler {
    suspend fun handle(request: HttpRequest): HttpAnswer
}

/** Describes why a call has no complete response. */
sealed interface HttpFailure {
    val detail: String

    /** The request was not sent: no byte of it left this process. */
    data class NotSent(
        override val detail: String,
    ) : HttpFailure

    /** At least a part of the request was sent, and there is no response. */
    data class NoAnswer(
        override val detail: String,
    ) : HttpFailure
}

/** Signals to the collector of [HttpAnswer.body] that the connection failed or timed out before the end of the body. */
class HttpBodyException(
    message: String,
) : Exception(message)
