/*
 * Lowest headroom (free capacity) of a bucket since any earlier position. A refund may restore only what the bucket would still hold had it
 * been charged the actual cost at admission; the lowest headroom since the admission is the bound.
 */
package io.skylarkstile.core.limit

/** Stores the suffix minima of a series of values. Beyond [limit] entries the two oldest are merged, keeping the lower value. */
internal class HeadroomHistory(
    private val limit: Int = 512,
) {
    private val lastPositions = ArrayDeque<Long>()
    private val minima = ArrayDeque<Double>()

    /** Position of the most recently recorded value. */
    var position = 0L
        private set

    fun record(value: Double) {
        position++
        while (minima.isNotEmpty() && minima.last() >= value) {
            minima.removeLast()
            lastPositions.removeLast()
        }
        minima.addLast(value)
        lastPositions.addLast(position)
        if (minima.size > limit) mergeOldest()
    }

    /**
     * Returns the lowest value recorded at position [from] or later. The result may be lower when the entries around [from] were merged.
     */
    fun lowestSince(from: Long): Double {
        val found = lastPositions.binarySearch(from)
        return minima[if (found >= 0) found else -found - 1]
    }

    private fun mergeOldest() {
        lastPositions.removeAt(0)
        minima.removeAt(1)
    }
}
