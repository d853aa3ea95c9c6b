/*
 * Determines the injected faults of an engine response when the response starts.
 */
package io.skylarkstile.standin.engine

import io.skylarkstile.standin.http.Controls
import kotlinx.coroutines.delay

/** Holds the faults of one response as numbers of tokens after which they occur; a negative number disables the fault. */
internal class AnswerFaults(
    private val stallAfter: Int,
    private val stallMs: Long,
    private val breakAfter: Int,
    private val crossAfter: Int,
) {
    /** Whether the response contains text of another request. */
    val crossed: Boolean get() = crossAfter >= 0

    /** Returns whether a chunk of another request must follow after [sent] tokens. */
    fun crossesAfter(sent: Int): Boolean = sent == crossAfter

    /** Stalls or breaks the stream if that fault is set to occur after [sent] tokens. */
    suspend fun injectAfterTokens(sent: Int) {
        if (sent == stallAfter) delay(stallMs)
        if (sent == breakAfter) throw BrokenStreamException("injected break")
    }

    /** Stalls or breaks a non-streaming response. */
    suspend fun injectBeforeWhole() {
        if (stallAfter >= 0) delay(stallMs)
        if (breakAfter >= 0) throw BrokenStreamException("injected break")
    }
}

/** Returns the faults of the next response and decrements the "next n" settings that cause them. */
internal fun takeNextFaults(controls: Controls<EngineSettings>): AnswerFaults {
    val now = controls.now
    return AnswerFaults(
        if (controls.take({ it.stallNext }, { s, n -> s.copy(stallNext = n) })) now.stallAfter else -1,
        now.stallMs,
        if (controls.take({ it.breakNext }, { s, n -> s.copy(breakNext = n) })) now.breakAfter else -1,
        if (controls.take({ it.crossNext }, { s, n -> s.copy(crossNext = n) })) now.crossAfter else -1,
    )
}
