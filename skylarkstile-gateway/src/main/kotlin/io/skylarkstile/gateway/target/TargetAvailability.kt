/*
 * Decides whether and when a target may get calls, from what it says of itself in its responses: that it leaves, that it wants a pause, and
 * how many calls it accepts; and whether its connections may be used for more than one call. It belongs to one run of a target, so a restarted
 * one begins without statements.
 */
package io.skylarkstile.gateway.target

import io.skylarkstile.gateway.model.ResponseHead
import io.skylarkstile.http.ConnectionReuse

/** Longest pause that is followed, in milliseconds: a target that wants no calls for longer leaves, and a larger value is likely a fault. */
private const val LONGEST_PAUSE_MS = 600_000L

/** After a pause, one call is sent first; the others follow when it is answered or after this time, in milliseconds. */
private const val FIRST_CALL_MS = 500L

/** Says what a response has changed. */
enum class AvailabilityChange { None, Leaving, Paused }

/** Tracks the statements of one run of a target. Not thread-safe. */
class TargetAvailability {
    val callLimit = CallLimit()

    /** True once the target has said that it leaves; it gets no further call. */
    var isLeaving = false
        private set
    private var pausedUntil = NEVER
    private var firstCallAt = NEVER
    private val connectionReuse = ConnectionReuse()

    /** True from the end of a pause until a call has been answered. */
    private var isResuming = false

    /** Applies what the response [head], received at [now], says of leaving and pauses, and returns what has changed. */
    fun observe(
        head: ResponseHead,
        now: Long,
    ): AvailabilityChange {
        val hasLeft = head.isTargetLeaving && !isLeaving
        if (hasLeft) isLeaving = true
        head.coldMs?.let { callLimit.cold.state(it, now) }
        val pauseMs = head.pauseMs
        if (pauseMs == null) {
            if (now >= pausedUntil) isResuming = false
        } else {
            pause(now + minOf(pauseMs, LONGEST_PAUSE_MS))
        }
        return when {
            hasLeft -> AvailabilityChange.Leaving
            pauseMs != null -> AvailabilityChange.Paused
            else -> AvailabilityChange.None
        }
    }

    private fun pause(until: Long) {
        pausedUntil = maxOf(pausedUntil, until)
        firstCallAt = NEVER
        isResuming = true
    }

    /** Records that a call is sent at [now]. */
    fun callSent(now: Long) {
        if (isResuming && now >= pausedUntil) firstCallAt = now
    }

    /** Returns whether the target has asked for a pause that lasts at [now]. */
    fun isPaused(now: Long): Boolean = now < pausedUntil

    /** Returns the time until which a pause or the limit permits no call, or null if none does. */
    fun blockedUntilOrNull(now: Long): Long? = maxOf(pausedUntil, callLimit.blockedUntilOrNull(now) ?: NEVER).takeIf { now < it }

    /** Returns whether no call may be sent now; soon after a pause, only until the first call is answered. */
    fun isBlocked(now: Long): Boolean =
        isLeaving || now < pausedUntil || callLimit.isBlocked(now) || (isResuming && now < firstCallAt + FIRST_CALL_MS)

    /** Returns whether a connection may be used for a further call. */
    fun mayReuseConnections(now: Long): Boolean = connectionReuse.isPermitted(now)

    /**
     * Records that the target has sent bytes that belong to no call, and returns for how long its connections aren't used again, in
     * milliseconds: more such bytes may follow each of its responses.
     */
    fun recordForeignBytes(now: Long): Long = connectionReuse.recordForeignBytes(now)

    private companion object {
        /** Far enough in the past, without an overflow when times are added. */
        const val NEVER = Long.MIN_VALUE / 2
    }
}
