/*
 * Delivery of one answer to a caller over all attempts of its request. An event stream is forwarded as it arrives, and the next attempt
 * continues it. Any other answer is buffered until it is complete, so that the caller receives nothing of a failed attempt.
 */
package io.skylarkstile.entry.target

import io.skylarkstile.core.dispatch.DispatchEvent
import io.skylarkstile.schema.generated.DispatchEnd

/** Forwards the events of all attempts to [emit], without those that the caller already has. Used by one coroutine. */
internal class AnswerSession(
    private val emit: suspend (DispatchEvent) -> Unit,
) {
    private val bufferedEvents = ArrayList<DispatchEvent>()
    private var isHeadForwarded = false
    private var isResumed = false
    private var isDoneReceived = false
    private var isStream = false
    private var nextIndex = 0

    /** Number of tokens forwarded. */
    var tokens = 0
        private set

    /** Returns whether the caller has received anything. */
    val isStarted: Boolean get() = isHeadForwarded

    /** Prepares for the next attempt, which resumes after [tokens]. */
    fun beginAttempt() {
        bufferedEvents.clear()
        isResumed = isHeadForwarded
        nextIndex = tokens
    }

    /** Handles one event of the running attempt; returns the end of the attempt when it is over, null before. */
    suspend fun handle(event: DispatchEvent): DispatchEnd? = when (event) {
        is DispatchEvent.Head -> onHead(event)
        is DispatchEvent.Chunk -> if (isStream) onChunk(event.data) else null.also { bufferedEvents.add(event) }
        is DispatchEvent.End -> onEnd(event.end)
    }

    private suspend fun onHead(head: DispatchEvent.Head): DispatchEnd? {
        isStream = isEventStream(head.contentType)
        if (isResumed) return if (isStream) null else unknownEnd("resume-refused", "the resumed answer has status ${head.status}")
        if (!isStream) {
            bufferedEvents.add(head)
        } else {
            isHeadForwarded = true
            emit(head)
        }
        return null
    }

    private suspend fun onEnd(end: DispatchEnd): DispatchEnd {
        if (isDoneReceived) return doneEnd
        if (end.outcome != DispatchEnd.Outcome.Done) return end
        if (isStream) return unknownEnd("answer-incomplete", "the stream ended without [DONE]")
        if (bufferedEvents.isEmpty()) return unknownEnd("answer-incomplete", "the answer has no head")
        isHeadForwarded = true
        bufferedEvents.forEach { emit(it) }
        return end
    }

    private suspend fun onChunk(data: ByteArray): DispatchEnd? {
        val forwarded = ArrayList<ByteArray>()
        var end: DispatchEnd? = null
        for (event in SseSplitter().add(data)) {
            end = onEvent(event, forwarded)
            if (end != null) break
        }
        forwarded.chunkedBySize(Int.MAX_VALUE).forEach { emit(DispatchEvent.Chunk(it)) }
        return end
    }

    private fun onEvent(
        event: ByteArray,
        forwarded: MutableList<ByteArray>,
    ): DispatchEnd? {
        when (val kind = readEvent(event).kind) {
            is SseEventKind.Token -> return onToken(kind.indexOrNull ?: nextIndex, event, forwarded)
            is SseEventKind.Failed -> return unknownEnd("target-error", kind.detail)
            SseEventKind.Done -> isDoneReceived = true
            is SseEventKind.Closing -> tokenCountMismatchOrNull(kind)?.let { return it }
            SseEventKind.Other -> if (isResumed) return null
        }
        forwarded.add(event)
        return null
    }

    private fun tokenCountMismatchOrNull(closing: SseEventKind.Closing): DispatchEnd? = closing.tokensOrNull?.takeIf { it != tokens }?.let {
        unknownEnd(
            "token-count",
            "the target reports $it tokens, $tokens were forwarded",
        )
    }

    /** Forwards the token at [index] if it is the next one. Drops a token that the caller already has and ends the attempt at a gap. */
    private fun onToken(
        index: Int,
        event: ByteArray,
        forwarded: MutableList<ByteArray>,
    ): DispatchEnd? {
        if (index > tokens) return unknownEnd("token-gap", "token $index followed token ${tokens - 1}")
        nextIndex = index + 1
        if (index == tokens) {
            tokens++
            forwarded.add(event)
        }
        return null
    }
}
