/*
 * Derives the health of a target from the outcomes of its calls. The status of a health check is ignored, since it may be wrong either
 * way, but any response shows that a suspected target is reachable again.
 */
package io.skylarkstile.gateway.target

import kotlin.math.exp
import kotlin.math.max

/** Time constant of the exponential decay of recorded outcomes, in milliseconds. */
private const val DECAY_MS = 5_000.0

/** Successes assumed in addition to the recorded ones, so that a single failure doesn't exclude a target. */
private const val PRIOR_OUTCOMES = 4.0

/** Number of consecutive failures to reach a target after which it is suspected. */
private const val UNREACHABLE_LIMIT = 2

/** Tracks the outcomes of calls to one target. Not thread-safe. */
class TargetHealth {
    private var successes = 0.0
    private var failures = 0.0
    private var decayedAt = 0L
    private var unreachableInARow = 0

    /** True while the target seems to be gone: calls go elsewhere until it sends anything. */
    var isSuspect = false
        private set

    /** Records a response that the target itself produced, including a refusal. */
    fun recordResponse(now: Long) {
        decay(now)
        successes += 1
        recordActivity()
    }

    /** Records that the target sent any data. */
    fun recordActivity() {
        unreachableInARow = 0
        isSuspect = false
    }

    /** Records a failure of the target: a server error, or a broken, late or missing response. */
    fun recordFailure(now: Long) {
        decay(now)
        failures += 1
    }

    /** Records that a connection could not be opened, or was closed before a response started. */
    fun recordUnreachable(now: Long) {
        recordFailure(now)
        if (++unreachableInARow >= UNREACHABLE_LIMIT) isSuspect = true
    }

    /** Marks the target as suspect because it has sent nothing for too long. */
    fun markSuspect() {
        isSuspect = true
    }

    /** Returns the share of recent calls that failed, from 0 to 1. */
    fun failureShare(now: Long): Double {
        decay(now)
        return failures / max(1.0, successes + failures + PRIOR_OUTCOMES)
    }

    private fun decay(now: Long) {
        if (now == decayedAt) return
        val factor = exp((decayedAt - now) / DECAY_MS)
        successes *= factor
        failures *= factor
        decayedAt = now
    }
}
