/*
 * What the answers of one target say about its health. Health checks aren't used: they may be wrong either way, and they are priced.
 */
package io.skylarkstile.gateway.target

import kotlin.math.exp
import kotlin.math.max
import kotlin.math.min

/** Time constant of the failure share in milliseconds. */
private const val MEMORY_MS = 5_000.0

/** Outcomes that count as good before any was seen, so that one failure doesn't condemn a target. */
private const val PRIOR_OUTCOMES = 4.0
private const val FIRST_PAUSE_MS = 500L
private const val LONGEST_PAUSE_MS = 4_000L

/** Unreachable targets are left alone after this many failures in a row. */
private const val UNREACHABLE_LIMIT = 2

/** Collects the outcomes of calls to one target. Not thread-safe. */
class TargetHealth {
    private var good = 0.0
    private var bad = 0.0
    private var at = 0L
    private var unreachable = 0
    private var pauseMs = FIRST_PAUSE_MS
    private var pausedUntil = Long.MIN_VALUE

    /** Notes an answer that is the target's own, also a refusal. */
    fun answered(now: Long) {
        fade(now)
        good += 1
        unreachable = 0
        pauseMs = FIRST_PAUSE_MS
    }

    /** Notes a failure of the target: an error of its own, a broken or a missing answer. */
    fun failed(now: Long) {
        fade(now)
        bad += 1
    }

    /** Notes that the target could not be connected to or broke off without a byte; it is then left alone for a while. */
    fun unreachable(now: Long) {
        failed(now)
        unreachable++
        if (unreachable < UNREACHABLE_LIMIT || now < pausedUntil) return
        pausedUntil = now + pauseMs
        pauseMs = min(pauseMs * 2, LONGEST_PAUSE_MS)
    }

    /** Returns whether the target is left alone for now. */
    fun isPaused(now: Long): Boolean = now < pausedUntil

    /** Returns the recent share of failures, 0 to 1. */
    fun failureShare(now: Long): Double {
        fade(now)
        return bad / max(1.0, good + bad + PRIOR_OUTCOMES)
    }

    private fun fade(now: Long) {
        val factor = exp((at - now) / MEMORY_MS)
        good *= factor
        bad *= factor
        at = now
    }
}
