/*
 * Grants the calls to one target under pressure, so that all instances together send it no more than the limit that it names.
 */
package io.skylarkstile.gateway.target

/**
 * The bucket holds the calls of this time, in milliseconds, so that none are lost while an instance that was told to return has no call. A
 * longer pause gives no right to a larger burst.
 */
private const val CAPACITY_MS = 500.0
private const val MIN_CAPACITY = 2.0

/** A target that accepts less than this still gets a call now and then, in calls per second: only a response can lift its limit. */
private const val MIN_CALLS_PER_SECOND = 0.2

/** Maximum time for which an instance is told to send nothing, in milliseconds: the limit may be lifted meanwhile. */
private const val MAX_WAIT_MS = 1_000L

private const val MS_PER_S = 1_000.0

/** States that [calls] may be sent now and, if these are fewer than requested, that another one is likely to be granted after [waitMs]. */
data class CallGrant(
    val calls: Int,
    val waitMs: Long,
)

/** Holds the calls that may be sent to one target; starts empty. Not thread-safe. */
class CallBucket(
    startedAt: Long,
) {
    private var level = 0.0

    /** Calls for which refused instances were told to return, minus those refilled since. */
    private var promised = 0.0
    private var refilledAt = startedAt

    /**
     * Takes up to [calls] calls at a limit of [callsPerSecond]. The time to wait grows with each refusal, because otherwise all refused
     * instances would return for the same call.
     */
    fun take(
        now: Long,
        calls: Int,
        callsPerSecond: Double,
    ): CallGrant {
        val perMs = maxOf(callsPerSecond, MIN_CALLS_PER_SECOND) / MS_PER_S
        refill(now, perMs)
        val granted = minOf(calls, level.toInt())
        level -= granted
        if (granted == calls) return CallGrant(granted, 0)
        promised += 1
        val waitMs = maxOf(promised, 1 - level) / perMs
        return CallGrant(granted, minOf(waitMs.toLong() + 1, MAX_WAIT_MS))
    }

    private fun refill(
        now: Long,
        perMs: Double,
    ) {
        val refilled = (now - refilledAt) * perMs
        level = minOf(level + refilled, maxOf(MIN_CAPACITY, CAPACITY_MS * perMs))
        promised = maxOf(0.0, promised - refilled)
        refilledAt = now
    }
}
