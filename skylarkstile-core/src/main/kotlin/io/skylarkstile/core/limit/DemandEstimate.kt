/*
 * Observed demand of one workspace on one instance, used to borrow before the own tokens run out.
 */
package io.skylarkstile.core.limit

import kotlin.math.exp

/** Averages demand with exponential decay over [windowMs]. Refused requests count too, since they show what callers want. */
internal class DemandEstimate(
    private val windowMs: Double = 500.0,
) {
    private var weighted = Amount.NONE
    private var at = 0L

    fun record(
        now: Long,
        cost: Amount,
    ) {
        weighted = decayed(now) + cost
        at = now
    }

    /** Returns the demand per millisecond. */
    fun perMs(now: Long): Amount = decayed(now) * (1 / windowMs)

    private fun decayed(now: Long): Amount = weighted * exp((at - now) / windowMs)
}
