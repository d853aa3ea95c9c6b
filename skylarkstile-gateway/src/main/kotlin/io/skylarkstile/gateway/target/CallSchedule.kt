/*
 * Schedules the calls to one target under pressure, so that all instances together send it no more than the limit that it names. A call that
 * can wait gets a time of its own, so that no part of the limit is lost while instances ask again.
 */
package io.skylarkstile.gateway.target

import io.skylarkstile.core.cluster.stableFraction

/**
 * The calls of this time, in milliseconds, may be made up for after a pause. A longer pause gives no right to a larger burst.
 */
private const val BURST_MS = 500.0
private const val MIN_BURST = 2.0

/** A target that accepts less than this still gets a call now and then, in calls per second: only a response can lift its limit. */
private const val MIN_CALLS_PER_SECOND = 0.2

/** Maximum time after which a refused instance may ask again, in milliseconds: the limit may be lifted meanwhile. */
private const val MAX_REFUSAL_MS = 1_000L

private const val MS_PER_S = 1_000.0

/** Allows a call after [waitMs] milliseconds, or refuses it; then another call may be allowed after [waitMs]. */
data class CallGrant(
    val isGranted: Boolean,
    val waitMs: Long,
)

/** Schedules the calls to one target from [startedAt] on. Not thread-safe. */
class CallSchedule(
    startedAt: Long,
    initialCalls: Double = 0.0,
    private val minBurst: Double = MIN_BURST,
) {
    /** Calls that may be sent now; below 0, calls that are allowed for a later time. */
    private var available = initialCalls

    /** Refused instances that may ask again, minus those whose turn has come since. */
    private var refused = 0.0
    private var refilledAt = startedAt

    /**
     * Schedules one call that can wait for [maxWaitMs], at a limit of [callsPerSecond]. The time after which a refused instance may ask
     * again grows with each refusal, because otherwise all of them would return for the same call.
     */
    fun schedule(
        now: Long,
        maxWaitMs: Long,
        callsPerSecond: Double,
    ): CallGrant {
        val perMs = maxOf(callsPerSecond, MIN_CALLS_PER_SECOND) / MS_PER_S
        refill(now, perMs)
        val waitMs = Math.ceil(maxOf(0.0, 1 - available) / perMs).toLong()
        if (waitMs <= maxWaitMs) {
            available -= 1
            return CallGrant(true, waitMs)
        }
        refused += 1
        return CallGrant(false, minOf(maxOf(waitMs - maxWaitMs, (refused / perMs).toLong()), MAX_REFUSAL_MS))
    }

    private fun refill(
        now: Long,
        perMs: Double,
    ) {
        val calls = (now - refilledAt) * perMs
        available = minOf(available + calls, maxOf(minBurst, BURST_MS * perMs))
        refused = maxOf(0.0, refused - calls)
        refilledAt = now
    }
}

/**
 * Creates the schedule for [instance]'s own share of the limit of [target], which may be less than one call a second. Each instance begins at
 * another point of its first call and saves no more than one, because otherwise all instances would send one at the same time.
 */
fun shareSchedule(
    instance: String,
    target: String,
    startedAt: Long,
): CallSchedule = CallSchedule(startedAt, -stableFraction("$instance|$target"), minBurst = 1.0)
