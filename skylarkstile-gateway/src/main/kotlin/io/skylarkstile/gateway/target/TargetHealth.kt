/*
 * What the answers of one target say about its health. A health check isn't believed, since it may be wrong either way; but any answer at
 * all shows that a target that went silent is reachable again.
 */
package io.skylarkstile.gateway.target

import kotlin.math.exp
import kotlin.math.max

/** Time constant of the failure share in milliseconds. */
private const val MEMORY_MS = 5_000.0

/** Outcomes that count as good before any was seen, so that one failure doesn't condemn a target. */
private const val PRIOR_OUTCOMES = 4.0

/** A target is suspected after this many failures to reach it in a row. */
private const val UNREACHABLE_LIMIT = 2

/** Collects the outcomes of calls to one target. Not thread-safe. */
class TargetHealth {
    private var good = 0.0
    private var bad = 0.0
    private var at = 0L
    private var unreachable = 0

    /** True while the target seems to be gone: calls go elsewhere until anything is heard from it. */
    var isSuspect = false
        private set

    /** Notes an answer that is the target's own, also a refusal. */
    fun answered(now: Long) {
        fade(now)
        good += 1
        heard()
    }

    /** Notes any bytes from the target. */
    fun heard() {
        unreachable = 0
        isSuspect = false
    }

    /** Notes a failure of the target: an error of its own, a broken, a late or a missing answer. */
    fun failed(now: Long) {
        fade(now)
        bad += 1
    }

    /** Notes that the target could not be connected to or broke off without a byte. */
    fun unreachable(now: Long) {
        failed(now)
        if (++unreachable >= UNREACHABLE_LIMIT) isSuspect = true
    }

    /** Notes that the target has sent nothing for too long. */
    fun suspect() {
        isSuspect = true
    }

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
