/*
 * A token bucket for the call rates of the imitated services.
 */
package io.skylarkstile.standin.http

/** Holds tokens for at most one second of the rate, but at least one. */
internal class RateBucket {
    private val lock = Any()
    private var tokens = Double.NaN
    private var refilledAt = 0L

    /** Takes one token at a refill of [perSecond] tokens; [now] is in milliseconds. Returns `false` when none is left. */
    fun take(
        perSecond: Double,
        now: Long,
    ): Boolean = synchronized(lock) {
        val capacity = maxOf(perSecond, 1.0)
        val refill = (now - refilledAt) / 1_000.0 * perSecond
        tokens = if (tokens.isNaN()) capacity else minOf(capacity, tokens + refill)
        refilledAt = now
        if (tokens < 1.0) return false
        tokens -= 1.0
        true
    }
}
