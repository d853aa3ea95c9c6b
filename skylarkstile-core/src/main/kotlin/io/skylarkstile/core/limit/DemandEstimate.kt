/*
 * Observed demand of one workspace on one instance, used to obtain tokens from peers before the local ones run out.
 */
package io.skylarkstile.core.limit

import kotlin.math.exp

/**
 * Averages demand with exponential decay; [windowMs] is the time constant. Refused requests are included because they are part of the
 * demand.
 */
internal class DemandEstimate(
    private val windowMs: Double = 500.0,
) {
    private var decayedSum = Amount.NONE
    private var at = 0L

    fun record(
        now: Long,
        cost: Amount,
    ) {
        decayedSum = decayed(now) + cost
        at = now
    }

    /** Returns the demand per millisecond. */
    fun perMs(now: Long): Amount = decayed(now) * (1 / windowMs)

    private fun decayed(now: Long): Amount = decayedSum * exp((at - now) / windowMs)
}
