/*
 * Conversion of one engine answer to dispatch events. An answer can arrive late on a reused connection, so it is forwarded only if it names
 * the request and the adapter it belongs to, and counts as done only if it was received to its end.
 */
package io.skylarkstile.entry.target

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.core.dispatch.DispatchEvent
import io.skylarkstile.schema.generated.Dispatch
import io.skylarkstile.schema.generated.DispatchEnd
import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpBodyException
import kotlinx.coroutines.flow.takeWhile

private val log = KotlinLogging.logger {}

/** Keeps chunks well below the limit of 1 MiB for a peer frame. */
private const val CHUNK_BYTES = 262_144
private const val MAX_BODY_BYTES = 16_777_216
private const val BUSY_RETRY_MS = 200L

/** Separates the epoch from `adapter@version` in a handle. */
private const val EPOCH_SEPARATOR = '#'

/** Forwards the answer to [request], which runs on [handle], to [emit]. Used for one answer. */
internal class AnswerRelay(
    private val request: Dispatch,
    private val handle: String,
    private val emit: suspend (DispatchEvent) -> Unit,
) {
    /** Number of generated tokens received so far. */
    var tokens = 0
        private set

    private val modelField = Regex("\"model\"\\s*:\\s*\"${Regex.escape(handle)}\"")

    /** Forwards [answer] and returns how the request ended. */
    suspend fun relay(answer: HttpAnswer): DispatchEnd {
        if (!belongsToRequest(answer)) return rejectMismatch(answer)
        return when (answer.status) {
            in 200..299 -> if (isEventStream(answer)) relayEvents(answer) else relayBody(answer)
            404 -> refusedEnd(answer, ADAPTER_MISSING)
            409, 412 -> refusedEnd(answer, "not-owner")
            429, 503 -> refusedEnd(answer, "target-busy", retryAfterMs(answer.headers) ?: BUSY_RETRY_MS)
            in 400..499 -> relayBody(answer)
            else -> discard(answer).let { unknownEnd("target-error", "the target answered status ${answer.status}") }
        }
    }

    /** Replaces the handle by `adapter@version`, the name that callers know; the epoch in a handle is internal. */
    private fun withoutEpoch(data: ByteArray): ByteArray {
        if (EPOCH_SEPARATOR !in handle) return data
        return modelField.replace(data.decodeToString()) { "\"model\":\"${handle.substringBefore(EPOCH_SEPARATOR)}\"" }.encodeToByteArray()
    }

    /**
     * Returns whether the headers name the request and the adapter. Errors may omit the names: each completion has its own connection, so
     * they cannot belong to another request.
     */
    private fun belongsToRequest(answer: HttpAnswer): Boolean {
        val areNamesRequired = answer.status in 200..299
        val names = listOf(answer.headers[REQUEST_ID_HEADER] to request.requestId, answer.headers[ADAPTER_HEADER] to handle)
        return names.all { (given, expected) -> if (given == null) !areNamesRequired else given == expected }
    }

    /** Returns whether [id] belongs to another request. Engines derive the id of an answer and its chunks: `cmpl-<request id>`. */
    private fun isForeign(id: String): Boolean = id != request.requestId && !id.endsWith("-${request.requestId}")

    private fun foreignEnd(id: String): DispatchEnd = mismatchEnd("a part of the answer has the id $id")

    private suspend fun rejectMismatch(answer: HttpAnswer): DispatchEnd {
        val detail =
            "the answer (status ${answer.status}) names request ${answer.headers[REQUEST_ID_HEADER]} and adapter " +
                "${answer.headers[ADAPTER_HEADER]} instead of ${request.requestId} and $handle"
        discard(answer)
        return mismatchEnd(detail)
    }

    private fun mismatchEnd(detail: String): DispatchEnd {
        log.event(Level.WARN, "answer-mismatch", "target" to request.target, "requestId" to request.requestId) { detail }
        return unknownEnd("answer-mismatch", detail)
    }

    private suspend fun refusedEnd(
        answer: HttpAnswer,
        reason: String,
        retryAfterMs: Long? = null,
    ): DispatchEnd = notRun(reason, readBody(answer)?.decodeToString()?.take(200), retryAfterMs)

    private suspend fun relayBody(answer: HttpAnswer): DispatchEnd {
        val body = readBody(answer, MAX_BODY_BYTES) ?: return unknownEnd("answer-incomplete", "the answer broke off or exceeds 16 MiB")
        val json = parseObjectOrNull(body.decodeToString())
        json?.let { idOrNull(it) }?.takeIf { isForeign(it) }?.let { return foreignEnd(it) }
        tokens = json?.let { completionTokensOrNull(it) } ?: 0
        emit(DispatchEvent.Head(answer.status, contentTypeOf(answer)))
        val callerBody = withoutEpoch(body)
        for (from in callerBody.indices step CHUNK_BYTES) {
            emit(DispatchEvent.Chunk(callerBody.copyOfRange(from, minOf(from + CHUNK_BYTES, callerBody.size))))
        }
        return doneEnd
    }

    private suspend fun relayEvents(answer: HttpAnswer): DispatchEnd {
        emit(DispatchEvent.Head(answer.status, contentTypeOf(answer)))
        val splitter = SseSplitter()
        var end: DispatchEnd? = null
        try {
            answer.body
                .takeWhile { end == null }
                .collect { data ->
                    end = forwardEvents(splitter.add(data))
                    if (splitter.isTooLong) end = unknownEnd("target-error", "an event of the target exceeds 512 KiB")
                }
        } catch (failure: HttpBodyException) {
            end = end ?: unknownEnd("answer-incomplete", failure.message)
        }
        return end ?: unknownEnd("answer-incomplete", "the stream ended without [DONE] after $tokens tokens")
    }

    /** Forwards [events] up to the one that ends the stream; returns the end, or null if the stream continues. */
    private suspend fun forwardEvents(events: List<ByteArray>): DispatchEnd? {
        val forwarded = ArrayList<ByteArray>()
        val end = events.firstNotNullOfOrNull { event -> endOrNull(event, forwarded) }
        forwarded.chunkedBySize(CHUNK_BYTES).forEach { emit(DispatchEvent.Chunk(it)) }
        return end
    }

    private fun endOrNull(
        event: ByteArray,
        forwarded: MutableList<ByteArray>,
    ): DispatchEnd? {
        val read = readEvent(event)
        read.idOrNull?.takeIf { isForeign(it) }?.let { return foreignEnd(it) }
        val kind = read.kind
        if (kind is SseEventKind.Failed) return unknownEnd("target-error", kind.detail)
        if (kind is SseEventKind.Token) tokens++
        forwarded.add(withoutEpoch(event))
        return doneEnd.takeIf { kind == SseEventKind.Done }
    }
}

internal fun isEventStream(contentType: String): Boolean = contentType.startsWith("text/event-stream", ignoreCase = true)

private fun isEventStream(answer: HttpAnswer): Boolean = isEventStream(contentTypeOf(answer))

private fun contentTypeOf(answer: HttpAnswer): String = answer.headers["content-type"] ?: "application/json"

/** Joins adjacent arrays up to [size] bytes; a single array that is larger is kept as it is. */
internal fun List<ByteArray>.chunkedBySize(size: Int): List<ByteArray> {
    val joined = ArrayList<ByteArray>()
    forEach { part ->
        val last = joined.lastOrNull()
        if (last != null && last.size + part.size <= size) joined[joined.size - 1] = last + part else joined.add(part)
    }
    return joined
}
