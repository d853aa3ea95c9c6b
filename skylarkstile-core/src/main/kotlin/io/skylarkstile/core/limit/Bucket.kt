/*
 * One token bucket of one instance: a share of the fleet's bucket, with the tokens that are lent to other instances.
 */
package io.skylarkstile.core.limit

/** Holds [stock] and [lent] tokens and room for [expected] ones, together at most the capacity. */
internal class Bucket {
    var stock = 0.0
        private set
    var lent = 0.0
        private set

    /** Room kept free for tokens that peers may have sent. */
    var expected = 0.0
        private set
    var capacity = 0.0
        private set
    private var perMs = 0.0
    private var refunded = 0.0
    private val headroom = HeadroomHistory().apply { record(0.0) }

    /** Number of the present moment in the history of this bucket, taken by a reservation directly after its charge. */
    val position: Long get() = headroom.position

    /** Applies a share of new limits. A smaller capacity discards stock; a larger one adds none. */
    fun limit(
        perMs: Double,
        capacity: Double,
    ) {
        this.perMs = perMs
        this.capacity = capacity
        keepWithinCapacity()
    }

    fun refill(elapsedMs: Long) {
        val room = capacity - lent - expected - stock
        if (room <= 0.0 || elapsedMs <= 0) return
        stock += minOf(room, perMs * elapsedMs)
        note()
    }

    /** Removes [amount], which may exceed the stock by a rounding error. */
    fun take(amount: Double) {
        stock -= amount
        note()
    }

    /** Moves up to [amount] from stock to loans and returns how much. */
    fun lend(amount: Double): Double {
        val given = minOf(amount, stock).coerceAtLeast(0.0)
        stock -= given
        lent += given
        return given
    }

    /** Removes up to [amount] from stock for good and returns how much. */
    fun give(amount: Double): Double {
        val given = minOf(amount, stock).coerceAtLeast(0.0)
        take(given)
        return given
    }

    /** Keeps room for [amount]. */
    fun expect(amount: Double) {
        expected += amount
        note()
    }

    /** Adds [received] tokens and frees the room of [amount] that was kept for them. */
    fun receive(
        amount: Double,
        received: Double,
    ) {
        expected = maxOf(0.0, expected - amount)
        stock += received.coerceIn(0.0, amount)
        keepWithinCapacity()
    }

    /** Ends a loan of [amount] of which [returned] comes back. */
    fun endLoan(
        amount: Double,
        returned: Double,
    ) {
        lent = maxOf(0.0, lent - amount)
        stock += returned.coerceIn(0.0, amount)
        keepWithinCapacity()
    }

    /**
     * Returns [amount] of a charge made at [since], up to what a bucket charged with the true amount would hold now.
     *
     * Refilling only up to the present capacity is not enough: a bucket that was full between charge and refund would get more than
     * its burst. The lowest headroom since the charge is the exact bound; each refund lowers it for all earlier charges.
     */
    fun refund(
        amount: Double,
        since: Long,
    ) {
        val restored = minOf(amount, headroom.lowestSince(since) - refunded).coerceAtLeast(0.0)
        refunded += restored
        stock += restored
    }

    /** Empties the stock; loans stay. */
    fun empty() {
        stock = minOf(stock, 0.0)
        note()
    }

    private fun keepWithinCapacity() {
        stock = minOf(stock, maxOf(0.0, capacity - lent - expected))
        note()
    }

    private fun note() = headroom.record(capacity - stock - lent - expected + refunded)
}
