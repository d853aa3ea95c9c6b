/*
 * How long ago something was last known to be true. Permissions that may be withdrawn elsewhere end by themselves once it is too long.
 */
package io.skylarkstile.gateway.admission

/** Tells whether the last confirmation is at most [maxAgeMs] milliseconds old. */
class Freshness(
    var maxAgeMs: Long,
) {
    private var confirmedAt: Long? = null

    /** Notes that the state was current at time [at], the latest moment that is certain. */
    fun confirm(at: Long) {
        val before = confirmedAt
        if (before == null || at > before) confirmedAt = at
    }

    /** Forgets all confirmations, because the time since them isn't known. */
    fun forget() {
        confirmedAt = null
    }

    fun isFresh(now: Long): Boolean = confirmedAt?.let { now - it <= maxAgeMs } ?: false

    /** Returns the age of the last confirmation in milliseconds. */
    fun ageOrNull(now: Long): Long? = confirmedAt?.let { now - it }
}
