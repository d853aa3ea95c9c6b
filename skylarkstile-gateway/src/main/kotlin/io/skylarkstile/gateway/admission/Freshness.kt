/*
 * Tracks when some state was last confirmed. A permission that can be revoked elsewhere expires by itself once its last confirmation is too
 * old.
 */
package io.skylarkstile.gateway.admission

/** Considers the state fresh while its last confirmation is at most [maxAgeMs] milliseconds old. */
class Freshness(
    var maxAgeMs: Long,
) {
    private var confirmedAt: Long? = null
    private var invalidatedAt = Long.MIN_VALUE

    /** Records that the state was current at [at], the latest time that is certain from the answer to a request sent at [requestedAt]. */
    fun confirm(
        at: Long,
        requestedAt: Long = at,
    ) {
        // The answer may have been queued while this process was suspended, so an earlier request proves nothing about the present.
        if (requestedAt < invalidatedAt) return
        val previous = confirmedAt
        if (previous == null || at > previous) confirmedAt = at
    }

    /** Discards all confirmations and ignores answers to requests sent before [now], because the time elapsed since then is unknown. */
    fun invalidate(now: Long) {
        confirmedAt = null
        invalidatedAt = now
    }

    fun isFresh(now: Long): Boolean = confirmedAt?.let { now - it <= maxAgeMs } ?: false

    /** Returns the age of the last confirmation in milliseconds, or null if there is none. */
    fun ageOrNull(now: Long): Long? = confirmedAt?.let { now - it }
}
