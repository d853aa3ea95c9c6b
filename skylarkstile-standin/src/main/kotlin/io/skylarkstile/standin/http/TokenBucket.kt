/*
 * A token bucket that limits the call rates of the imitated services.
 */
package io.skylarkstile.standin.http

/** Limits calls to a rate, with a burst of one second of that rate, but at least one call. */
internal class TokenBucket {
    private val lock = Any()
    private var tokens = Double.NaN
    private var refilledAt = 0L

    /** Takes one token after a refill of [perSecond] tokens a second; [now] is in milliseconds. Returns `false` if the bucket is empty. */
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
