/*
 * The time for which a target is cold after its start. A cold target fails under a rate of calls that it bears later, so calls of all instances
 * together stay below the rate that its service states.
 */
package io.skylarkstile.gateway.target

import io.skylarkstile.gateway.model.ColdStart

/** Tracks the cold period of one target. Not thread-safe. */
class ColdPeriod {
    /** What the target's service states of cold targets; null if its targets are never cold. */
    var service: ColdStart? = null
    private var until = NEVER

    /** Returns whether the target is cold. */
    fun isCold(now: Long): Boolean = service != null && now < until

    /** Returns the calls per second that the cold target accepts from all instances, or null if it isn't cold. */
    fun callsPerSecondOrNull(now: Long): Double? = service?.callsPerSecond?.takeIf { now < until }

    /** Returns for how long the target is still cold, in milliseconds. */
    fun remainingMs(now: Long): Long = if (isCold(now)) until - now else 0

    /** Applies the newest statement of the target: it is cold for [remainingMs] milliseconds, or not cold if that is 0. */
    fun state(
        remainingMs: Long,
        now: Long,
    ) {
        until = now + remainingMs.coerceIn(0, LONGEST_MS)
    }

    /** Takes the target for one that has just started, because nothing is known of what happened to it meanwhile. */
    fun assumeStarted(now: Long) {
        service?.let { until = maxOf(until, now + it.durationMs) }
    }

    private companion object {
        /** Far enough in the past, without an overflow when it is subtracted. */
        const val NEVER = Long.MIN_VALUE / 2

        /** Longest cold period that is followed, in milliseconds; a larger value is likely a fault. */
        const val LONGEST_MS = 600_000L
    }
}
