/*
 * Passes one engine answer on as dispatch events. A target answer can arrive late on a reused connection, so an answer is passed on only
 * when it names the request and the adapter it belongs to, and counts as done only when its end was seen.
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

/** Chunks stay well under the peer frame bound of 1 MiB. */
private const val CHUNK_BYTES = 262_144
private const val MAX_WHOLE_BYTES = 16_777_216
private const val BUSY_RETRY_MS = 200L

/** Separates the epoch from `adapter@version` in a handle. */
private const val EPOCH_MARK = '#'

/** Passes the answer to [request], run on [handle], to [emit]. Used for one answer. */
internal class AnswerRelay(
    private val request: Dispatch,
    private val handle: String,
    private val emit: suspend (DispatchEvent) -> Unit,
) {
    /** Generated tokens seen so far. */
    var tokens = 0
        private set

    private val modelField = Regex("\"model\"\\s*:\\s*\"${Regex.escape(handle)}\"")

    /** Passes [answer] on and returns how the request ended. */
    suspend fun relay(answer: HttpAnswer): DispatchEnd {
        if (!belongs(answer)) return mismatch(answer)
        return when (answer.status) {
            in 200..299 -> if (isEventStream(answer)) relayEvents(answer) else relayWhole(answer)
            404 -> refusedEnd(answer, ADAPTER_MISSING)
            409, 412 -> refusedEnd(answer, "not-owner")
            429, 503 -> refusedEnd(answer, "target-busy", retryAfterMs(answer.headers) ?: BUSY_RETRY_MS)
            in 400..499 -> relayWhole(answer)
            else -> discard(answer).let { unknownEnd("target-error", "the target answered status ${answer.status}") }
        }
    }

    /** Callers know `adapter@version`; the epoch in a handle is internal. */
    private fun withoutEpoch(data: ByteArray): ByteArray {
        if (EPOCH_MARK !in handle) return data
        return modelField.replace(data.decodeToString()) { "\"model\":\"${handle.substringBefore(EPOCH_MARK)}\"" }.encodeToByteArray()
    }

    /** Errors may leave the names out: each completion has a connection of its own, so they cannot belong to another request. */
    private fun belongs(answer: HttpAnswer): Boolean {
        val isNameNeeded = answer.status in 200..299
        val names = listOf(answer.headers[REQUEST_ID_HEADER] to request.requestId, answer.headers[ADAPTER_HEADER] to handle)
        return names.all { (given, expected) -> if (given == null) !isNameNeeded else given == expected }
    }

    /** Engines derive the id of an answer and of each chunk from the request id, as in `cmpl-<request id>`. */
    private fun isForeign(id: String): Boolean = id != request.requestId && !id.endsWith("-${request.requestId}")

    private fun foreignEnd(id: String): DispatchEnd = mismatchEnd("a part of the answer has the id $id")

    private suspend fun mismatch(answer: HttpAnswer): DispatchEnd {
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
    ): DispatchEnd = notRun(reason, readWhole(answer)?.decodeToString()?.take(200), retryAfterMs)

    private suspend fun relayWhole(answer: HttpAnswer): DispatchEnd {
        val body = readWhole(answer, MAX_WHOLE_BYTES) ?: return unknownEnd("answer-incomplete", "the answer broke off or exceeds 16 MiB")
        val json = parseObjectOrNull(body.decodeToString())
        json?.let { idOrNull(it) }?.takeIf { isForeign(it) }?.let { return foreignEnd(it) }
        tokens = json?.let { completionTokensOrNull(it) } ?: 0
        emit(DispatchEvent.Head(answer.status, contentTypeOf(answer)))
        val shown = withoutEpoch(body)
        for (from in shown.indices step CHUNK_BYTES) {
            emit(DispatchEvent.Chunk(shown.copyOfRange(from, minOf(from + CHUNK_BYTES, shown.size))))
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
                    end = passEvents(splitter.add(data))
                    if (splitter.isOverlong) end = unknownEnd("target-error", "an event of the target exceeds 512 KiB")
                }
        } catch (failure: HttpBodyException) {
            end = end ?: unknownEnd("answer-incomplete", failure.message)
        }
        return end ?: unknownEnd("answer-incomplete", "the stream ended without [DONE] after $tokens tokens")
    }

    /** Passes on [events] up to the one that ends the stream; returns the end when there is one. */
    private suspend fun passEvents(events: List<ByteArray>): DispatchEnd? {
        val passed = ArrayList<ByteArray>()
        val end = events.firstNotNullOfOrNull { event -> endOrNull(event, passed) }
        passed.chunkedBySize(CHUNK_BYTES).forEach { emit(DispatchEvent.Chunk(it)) }
        return end
    }

    private fun endOrNull(
        event: ByteArray,
        passed: MutableList<ByteArray>,
    ): DispatchEnd? {
        val read = readEvent(event)
        read.idOrNull?.takeIf { isForeign(it) }?.let { return foreignEnd(it) }
        val meaning = read.meaning
        if (meaning is SseMeaning.Failed) return unknownEnd("target-error", meaning.detail)
        if (meaning is SseMeaning.Token) tokens++
        passed.add(withoutEpoch(event))
        return doneEnd.takeIf { meaning == SseMeaning.Done }
    }
}

internal fun isEventStream(contentType: String): Boolean = contentType.startsWith("text/event-stream", ignoreCase = true)

private fun isEventStream(answer: HttpAnswer): Boolean = isEventStream(contentTypeOf(answer))

private fun contentTypeOf(answer: HttpAnswer): String = answer.headers["content-type"] ?: "application/json"

/** Joins neighbouring arrays as long as the sum stays within [size] bytes; a larger single array stays alone. */
internal fun List<ByteArray>.chunkedBySize(size: Int): List<ByteArray> {
    val joined = ArrayList<ByteArray>()
    forEach { part ->
        val last = joined.lastOrNull()
        if (last != null && last.size + part.size <= size) joined[joined.size - 1] = last + part else joined.add(part)
    }
    return joined
}
