/*
 * Faults that are drawn for one answer of an engine when it begins.
 */
package io.skylarkstile.standin.engine

import io.skylarkstile.standin.http.Controls
import kotlinx.coroutines.delay

/** Faults of one answer; a negative position means that the fault does not occur. */
internal class AnswerFaults(
    private val stallAfter: Int,
    private val stallMs: Long,
    private val breakAfter: Int,
    private val crossAfter: Int,
) {
    val crossed: Boolean get() = crossAfter >= 0

    /** Tells whether a chunk of another request comes after [sent] tokens. */
    fun crossesAfter(sent: Int): Boolean = sent == crossAfter

    /** Stalls or breaks the answer when that is due after [sent] tokens. */
    suspend fun afterTokens(sent: Int) {
        if (sent == stallAfter) delay(stallMs)
        if (sent == breakAfter) throw BrokenStreamException("injected break")
    }

    /** Stalls or breaks a whole answer. */
    suspend fun beforeWhole() {
        if (stallAfter >= 0) delay(stallMs)
        if (breakAfter >= 0) throw BrokenStreamException("injected break")
    }
}

/** Draws the faults of the next answer. */
internal fun drawFaults(controls: Controls<EngineSettings>): AnswerFaults {
    val now = controls.now
    return AnswerFaults(
        if (controls.take({ it.stallNext }, { s, n -> s.copy(stallNext = n) })) now.stallAfter else -1,
        now.stallMs,
        if (controls.take({ it.breakNext }, { s, n -> s.copy(breakNext = n) })) now.breakAfter else -1,
        if (controls.take({ it.crossNext }, { s, n -> s.copy(crossNext = n) })) now.crossAfter else -1,
    )
}
