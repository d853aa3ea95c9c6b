/*
 * Rate limit on log lines about single calls, so that load can't flood the log.
 */
package io.skylarkstile.gateway.main

/** Maximum number of lines about single calls that one instance writes per second. */
private const val MAX_LINES_PER_S = 300
private const val SECOND_MS = 1_000L

/** Allows at most [maxPerSecond] lines in each second. Not thread-safe. */
class LogLineLimiter(
    private val maxPerSecond: Int = MAX_LINES_PER_S,
) {
    private var second = Long.MIN_VALUE
    private var taken = 0

    /** Number of lines omitted since the last [takeOmitted]. */
    private var omitted = 0

    /** Reserves one line; returns false, and counts it as omitted, when this second's limit is reached. */
    fun tryAcquire(now: Long): Boolean {
        if (now / SECOND_MS != second) {
            second = now / SECOND_MS
            taken = 0
        }
        if (taken < maxPerSecond) return true.also { taken++ }
        omitted++
        return false
    }

    /** Returns the number of lines omitted since the last call, and resets it. */
    fun takeOmitted(): Int = omitted.also { omitted = 0 }
}
