/*
 * Token bucket that holds one instance's share of a fleet-wide bucket and accounts for tokens lent to other instances.
 */
package io.skylarkstile.core.limit

/**
 * Tracks available tokens ([stock]), [lent] tokens and capacity reserved for incoming ones ([reservedCapacity]); their sum is at most
 * [capacity].
 */
internal class Bucket {
    var stock = 0.0
        private set
    var lent = 0.0
        private set

    /** Capacity reserved for tokens that peers may have sent. */
    var reservedCapacity = 0.0
        private set
    var capacity = 0.0
        private set
    private var refillPerMs = 0.0
    private var totalRefunded = 0.0
    private val headroom = HeadroomHistory().apply { record(0.0) }

    /** Current position in the headroom history. A reservation stores it directly after its charge and passes it to [refund]. */
    val position: Long get() = headroom.position

    /** Sets the refill rate and the capacity. A smaller capacity discards excess stock; a larger one adds no stock. */
    fun setLimits(
        refillPerMs: Double,
        capacity: Double,
    ) {
        this.refillPerMs = refillPerMs
        this.capacity = capacity
        trimToCapacity()
    }

    fun refill(elapsedMs: Long) {
        val freeCapacity = capacity - lent - reservedCapacity - stock
        if (freeCapacity <= 0.0 || elapsedMs <= 0) return
        stock += minOf(freeCapacity, refillPerMs * elapsedMs)
        recordHeadroom()
    }

    /** Removes [amount] from the stock, which it may exceed by a rounding error. */
    fun take(amount: Double) {
        stock -= amount
        recordHeadroom()
    }

    /** Moves up to [amount] from [stock] to [lent] and returns the amount moved. */
    fun lend(amount: Double): Double {
        val given = minOf(amount, stock).coerceAtLeast(0.0)
        stock -= given
        lent += given
        return given
    }

    /** Permanently removes up to [amount] from the stock and returns the amount removed. */
    fun transferOut(amount: Double): Double {
        val given = minOf(amount, stock).coerceAtLeast(0.0)
        take(given)
        return given
    }

    /** Reserves capacity for [amount] incoming tokens. */
    fun reserveCapacity(amount: Double) {
        reservedCapacity += amount
        recordHeadroom()
    }

    /** Adds [received] tokens, at most [amount], and releases the capacity of [amount] that was reserved for them. */
    fun receive(
        amount: Double,
        received: Double,
    ) {
        reservedCapacity = maxOf(0.0, reservedCapacity - amount)
        stock += received.coerceIn(0.0, amount)
        trimToCapacity()
    }

    /** Ends a loan of [amount], of which the borrower returned [returned] unused. */
    fun endLoan(
        amount: Double,
        returned: Double,
    ) {
        lent = maxOf(0.0, lent - amount)
        stock += returned.coerceIn(0.0, amount)
        trimToCapacity()
    }

    /**
     * Refunds [amount] of a charge made at position [since], up to the stock that the bucket would hold now had it been charged the actual
     * cost.
     *
     * Limiting the refund to the current free capacity is not enough: a bucket that was full between charge and refund would admit more
     * than its burst. The lowest headroom since the charge is the exact bound; each refund lowers it for all earlier charges.
     */
    fun refund(
        amount: Double,
        since: Long,
    ) {
        val restored = minOf(amount, headroom.lowestSince(since) - totalRefunded).coerceAtLeast(0.0)
        totalRefunded += restored
        stock += restored
    }

    /** Discards the stock but keeps the loans and a negative rounding error. */
    fun discardStock() {
        stock = minOf(stock, 0.0)
        recordHeadroom()
    }

    private fun trimToCapacity() {
        stock = minOf(stock, maxOf(0.0, capacity - lent - reservedCapacity))
        recordHeadroom()
    }

    private fun recordHeadroom() = headroom.record(capacity - stock - lent - reservedCapacity + totalRefunded)
}
