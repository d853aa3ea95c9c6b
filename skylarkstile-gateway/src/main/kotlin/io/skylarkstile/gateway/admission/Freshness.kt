/*
 * How long ago something was last known to be true. Permissions that may be withdrawn elsewhere end by themselves once it is too long.
 */
package io.skylarkstile.gateway.admission

/** Tells whether the last confirmation is at most [maxAgeMs] milliseconds old. */
class Freshness(
    var maxAgeMs: Long,
) {
    private var confirmedAt: Long? = null
    private var forgottenAt = Long.MIN_VALUE

    /** Notes that the state was current at time [at], the latest moment that is certain, as the answer to a question of [askedAt] says. */
    fun confirm(
        at: Long,
        askedAt: Long = at,
    ) {
        // An answer may have waited for this process to go on, so one to an earlier question says nothing about now.
        if (askedAt < forgottenAt) return
        val before = confirmedAt
        if (before == null || at > before) confirmedAt = at
    }

    /** Forgets all confirmations and ignores answers to questions asked before [now], because the time since then isn't known. */
    fun forget(now: Long) {
        confirmedAt = null
        forgottenAt = now
    }

    fun isFresh(now: Long): Boolean = confirmedAt?.let { now - it <= maxAgeMs } ?: false

    /** Returns the age of the last confirmation in milliseconds. */
    fun ageOrNull(now: Long): Long? = confirmedAt?.let { now - it }
}
