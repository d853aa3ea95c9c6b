/*
 * A bound on log lines, so that a load can't turn into a flood of them.
 */
package io.skylarkstile.gateway.main

/** Lines about single calls that one instance writes in a second. */
private const val LINES_PER_S = 300
private const val SECOND_MS = 1_000L

/** Counts lines in each second. Not thread-safe. */
class LineBudget(
    private val most: Int = LINES_PER_S,
) {
    private var second = Long.MIN_VALUE
    private var taken = 0

    /** Lines that were left out since the last [takeOmitted]. */
    private var omitted = 0

    /** Takes one line; returns false when this second has none left. */
    fun take(now: Long): Boolean {
        if (now / SECOND_MS != second) {
            second = now / SECOND_MS
            taken = 0
        }
        if (taken < most) return true.also { taken++ }
        omitted++
        return false
    }

    /** Returns the number of lines left out since the last call. */
    fun takeOmitted(): Int = omitted.also { omitted = 0 }
}
