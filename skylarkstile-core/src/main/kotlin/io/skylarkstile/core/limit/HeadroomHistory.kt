/*
 * Lowest headroom of a bucket since any earlier moment. A refund may restore only what a bucket that was charged with the true amount
 * at admission would still hold, and that is bounded by the lowest headroom since the admission.
 */
package io.skylarkstile.core.limit

/** Keeps the suffix minima of a recorded series. At most [limit] entries are kept; older ones are merged towards lower values. */
internal class HeadroomHistory(
    private val limit: Int = 512,
) {
    private val ends = ArrayDeque<Long>()
    private val lows = ArrayDeque<Double>()

    /** Number of the newest record. */
    var position = 0L
        private set

    fun record(value: Double) {
        position++
        while (lows.isNotEmpty() && lows.last() >= value) {
            lows.removeLast()
            ends.removeLast()
        }
        lows.addLast(value)
        ends.addLast(position)
        if (lows.size > limit) mergeOldest()
    }

    /** Returns the lowest value recorded at [from] or later, or a lower one when that part was merged. */
    fun lowestSince(from: Long): Double {
        val found = ends.binarySearch(from)
        return lows[if (found >= 0) found else -found - 1]
    }

    private fun mergeOldest() {
        ends.removeAt(0)
        lows.removeAt(1)
    }
}
