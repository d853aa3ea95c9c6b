/*
 * What one caller has been sent so far, over all attempts of its request. An event stream is passed on as it arrives and continued by
 * the next attempt; a whole answer is held back until it is complete, so that a failed attempt leaves no trace.
 */
package io.skylarkstile.entry.target

import io.skylarkstile.core.dispatch.DispatchEvent
import io.skylarkstile.schema.generated.DispatchEnd

/** Collects the events of the attempts for one caller and passes on to [emit] what it has not had yet. Used by one coroutine. */
internal class AnswerSession(
    private val emit: suspend (DispatchEvent) -> Unit,
) {
    private val held = ArrayList<DispatchEvent>()
    private var isHeadPassed = false
    private var isResumed = false
    private var isDone = false
    private var isStream = false
    private var position = 0

    /** Tokens passed on. */
    var tokens = 0
        private set

    /** Returns whether the caller has received anything. */
    val isStarted: Boolean get() = isHeadPassed

    /** Prepares for the next attempt, which resumes after [tokens]. */
    fun beginAttempt() {
        held.clear()
        isResumed = isHeadPassed
        position = tokens
    }

    /** Handles one event of the running attempt; returns the attempt's end when it is over. */
    suspend fun handle(event: DispatchEvent): DispatchEnd? = when (event) {
        is DispatchEvent.Head -> head(event)
        is DispatchEvent.Chunk -> if (isStream) events(event.data) else null.also { held.add(event) }
        is DispatchEvent.End -> end(event.end)
    }

    private suspend fun head(head: DispatchEvent.Head): DispatchEnd? {
        isStream = isEventStream(head.contentType)
        if (isResumed) return if (isStream) null else unknownEnd("resume-refused", "the resumed answer has status ${head.status}")
        if (!isStream) {
            held.add(head)
        } else {
            isHeadPassed = true
            emit(head)
        }
        return null
    }

    private suspend fun end(end: DispatchEnd): DispatchEnd {
        if (isDone) return doneEnd
        if (end.outcome != DispatchEnd.Outcome.Done) return end
        if (isStream) return unknownEnd("answer-incomplete", "the stream ended without [DONE]")
        if (held.isEmpty()) return unknownEnd("answer-incomplete", "the answer has no head")
        isHeadPassed = true
        held.forEach { emit(it) }
        return end
    }

    private suspend fun events(data: ByteArray): DispatchEnd? {
        val passed = ArrayList<ByteArray>()
        var end: DispatchEnd? = null
        for (event in SseSplitter().add(data)) {
            end = event(event, passed)
            if (end != null) break
        }
        passed.chunkedBySize(Int.MAX_VALUE).forEach { emit(DispatchEvent.Chunk(it)) }
        return end
    }

    private fun event(
        event: ByteArray,
        passed: MutableList<ByteArray>,
    ): DispatchEnd? {
        when (val meaning = readEvent(event).meaning) {
            is SseMeaning.Token -> return token(meaning.indexOrNull ?: position, event, passed)
            is SseMeaning.Failed -> return unknownEnd("target-error", meaning.detail)
            SseMeaning.Done -> isDone = true
            is SseMeaning.Closing -> miscountOrNull(meaning)?.let { return it }
            SseMeaning.Other -> if (isResumed) return null
        }
        passed.add(event)
        return null
    }

    private fun miscountOrNull(closing: SseMeaning.Closing): DispatchEnd? = closing.tokensOrNull?.takeIf { it != tokens }?.let {
        unknownEnd(
            "token-count",
            "the target counts $it tokens, $tokens were passed on",
        )
    }

    /** Passes on the token numbered [index] if it is the next one; drops one that the caller has, and ends the attempt at a gap. */
    private fun token(
        index: Int,
        event: ByteArray,
        passed: MutableList<ByteArray>,
    ): DispatchEnd? {
        if (index > tokens) return unknownEnd("token-gap", "token $index followed token ${tokens - 1}")
        position = index + 1
        if (index == tokens) {
            tokens++
            passed.add(event)
        }
        return null
    }
}
