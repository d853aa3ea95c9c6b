/*
 * Messages of the HTTP/1.1 server and client. Bodies of requests are held whole (bounded by the settings);
 * bodies of answers are flows, so that an event stream is passed on as it arrives.
 */
package io.skylarkstile.transport.http

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flowOf
import java.io.ByteArrayOutputStream

/** Holds header fields in order; names compare without regard to case. */
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

/** Describes one answer. The body of a server's answer may be collected once. */
class HttpAnswer(
    val status: Int,
    val headers: HttpHeaders,
    val body: Flow<ByteArray>,
    /** Body length in bytes when it is known; an answer without it is sent in chunks. */
    val length: Long? = null,
)

/** Creates an answer whose body is held whole. */
fun wholeAnswer(
    status: Int,
    contentType: String,
    body: ByteArray,
    headers: HttpHeaders = HttpHeaders(),
): HttpAnswer = HttpAnswer(status, headers + ("content-type" to contentType), flowOf(body), body.size.toLong())

/** Collects the whole body; throws [HttpBodyException] when it breaks off or is longer than [limit] bytes. */
suspend fun HttpAnswer.bytes(limit: Int = 16 * 1_048_576): ByteArray {
    val out = ByteArrayOutputStream()
    body.collect {
        if (out.size() + it.size > limit) throw HttpBodyException("the body is longer than $limit bytes")
        out.write(it)
    }
    return out.toByteArray()
}

/** Answers requests of one server. A thrown exception becomes a 500 answer, or ends the connection once the answer has started. */
fun interface HttpHandler {
    suspend fun handle(request: HttpRequest): HttpAnswer
}

/** Tells why a call had no complete answer. */
sealed interface HttpFailure {
    val detail: String

    /** The request was not sent: no byte of it left this process. */
    data class NotSent(
        override val detail: String,
    ) : HttpFailure

    /** The request was sent at least in part, and the answer is missing. */
    data class NoAnswer(
        override val detail: String,
    ) : HttpFailure
}

/** Is thrown into the collector of [HttpAnswer.body] when the connection breaks or stays silent before the end of the body. */
class HttpBodyException(
    message: String,
) : Exception(message)
