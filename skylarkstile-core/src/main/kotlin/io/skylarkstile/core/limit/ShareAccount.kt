/*
 * Share of one instance in the fleet-wide rate and burst of one workspace. The total of all stocks, all tokens in transit and all usable
 * loans never exceeds the burst, whichever messages are lost.
 *
 * With N members, each refills at rate/N up to burst/N. Tokens lent to a peer occupy the lender's capacity until the borrower settles the
 * loan or [LOAN_MS] have passed since the lender received the ask; the borrower stops using them [BORROWED_MS] after sending the ask. For
 * tokens transferred permanently, the receiver reserves part of its own capacity from its ask until the answer arrives or [BORROWED_MS]
 * have passed.
 */
package io.skylarkstile.core.limit

/** Time in ms after receipt of an ask for which the loan occupies the lender's capacity. */
const val LOAN_MS = 1_000L

/** Time in ms after sending an ask for which the borrower may use the loan. The margin to [LOAN_MS] covers a clock drift of 1%. */
const val BORROWED_MS = 800L

/** Records the charge of one admitted request, so that unused tokens can be refunded. */
class Reservation internal constructor(
    val charged: Amount,
    internal val account: ShareAccount,
    internal val generation: Int,
    internal val requestsSince: Long,
    internal val tokensSince: Long,
)

/** Informs the lender that the loan granted for [ask] has ended; [returned] is its unspent part. */
data class Settlement(
    val lender: String,
    val ask: Long,
    val returned: Amount,
)

/**
 * Manages the tokens of one workspace on one instance. Not thread-safe. `now` is a monotonic time in milliseconds and must not decrease.
 */
class ShareAccount(
    startedAt: Long,
) {
    private class GrantedLoan(
        val borrower: String,
        val ask: Long,
        val amount: Amount,
        val endsAt: Long,
    )

    private class BorrowedLoan(
        val lender: String,
        val ask: Long,
        val askedAt: Long,
        var left: Amount,
    )

    private class PendingTransfer(
        val amount: Amount,
        val endsAt: Long,
    )

    private val requests = Bucket()
    private val tokens = Bucket()
    private val grantedLoans = LinkedHashMap<Pair<String, Long>, GrantedLoan>()
    private val borrowedLoans = ArrayDeque<BorrowedLoan>()
    private val pendingTransfers = LinkedHashMap<Long, PendingTransfer>()
    private val settlements = mutableListOf<Settlement>()
    private var refilledUntil = startedAt
    private var leasedUntil = startedAt
    private var generation = 0

    /**
     * Start of the refill, when all earlier loans have expired. A previous process of this instance may have granted loans just before it
     * ended, and the other members may have lent more than their capacity allows now that this instance takes a share.
     */
    private var refillStartsAt = startedAt + LOAN_MS

    val stock: Amount get() = Amount(requests.stock, tokens.stock)
    val lent: Amount get() = Amount(requests.lent, tokens.lent)
    val reservedCapacity: Amount get() = Amount(requests.reservedCapacity, tokens.reservedCapacity)
    val capacity: Amount get() = Amount(requests.capacity, tokens.capacity)

    /** Unspent amount of all borrowed loans. */
    val borrowed: Amount get() = borrowedLoans.fold(Amount.NONE) { sum, loan -> sum + loan.left }

    /** Sets [limits] shared by [members] instances. Call [advance] first, so that the time until now is refilled at the previous rate. */
    fun setLimits(
        limits: QuotaLimits,
        members: Int,
    ) {
        val n = maxOf(1, members).toDouble()
        requests.setLimits(limits.perSecond.requests / n / MS_PER_SECOND, limits.burst.requests / n)
        tokens.setLimits(limits.perSecond.tokens / n / MS_PER_SECOND, limits.burst.tokens / n)
    }

    /**
     * Refills for the leased time since the last call and ends expired loans. The time after the end of the last known lease adds no
     * tokens, even if a new lease has started since: the process may have been paused and removed from the roster in between.
     */
    fun advance(
        now: Long,
        leaseRemainingMs: Long,
    ) {
        endExpiredLoans(now)
        settleExpiredLoans(now)
        refillTo(now)
        dropExpiredTransfers(now)
        leasedUntil = now + maxOf(0, leaseRemainingMs)
    }

    /** Resets the account after this instance rejoined the roster. Reservations made before can no longer be refunded. */
    fun reset(now: Long) {
        generation++
        refillStartsAt = now + LOAN_MS
        requests.discardStock()
        tokens.discardStock()
        borrowedLoans.forEach { settlements += Settlement(it.lender, it.ask, it.left) }
        borrowedLoans.clear()
        pendingTransfers.values.forEach { receive(it, Amount.NONE) }
        pendingTransfers.clear()
    }

    /** Returns the amount that can be spent now, which is zero without a lease. */
    fun available(now: Long): Amount = if (now < leasedUntil) stock + borrowed else Amount.NONE

    /**
     * Charges [cost], or returns `null` and charges nothing when either component is insufficient. Borrowed tokens are spent first because
     * they expire, except while the local buckets are nearly full and would lose their refill.
     */
    fun reserve(
        now: Long,
        cost: Amount,
    ): Reservation? {
        if (!available(now).covers(cost)) return null
        val fromLoans = if (stock.covers(capacity * NEARLY_FULL_SHARE)) (cost - stock.positive()).positive() else cost
        var open = fromLoans
        for (loan in borrowedLoans) {
            val part = loan.left.atMost(open)
            loan.left -= part
            open -= part
        }
        val own = cost - fromLoans + open
        requests.take(own.requests)
        tokens.take(own.tokens)
        settleSpentLoans()
        return Reservation(cost, this, generation, requests.position, tokens.position)
    }

    /** Refunds [unused] of [reservation] to the local buckets, up to what they would hold had it never been charged. */
    fun refund(
        reservation: Reservation,
        unused: Amount,
    ) {
        if (reservation.account !== this || reservation.generation != generation) return
        val amount = unused.positive().atMost(reservation.charged)
        requests.refund(amount.requests, reservation.requestsSince)
        tokens.refund(amount.tokens, reservation.tokensSince)
    }

    /** Lends up to [wanted] to [borrower] but leaves [retained] in stock. Lends nothing without a lease or for a repeated ask number. */
    fun lend(
        now: Long,
        borrower: String,
        ask: Long,
        wanted: Amount,
        retained: Amount = Amount.NONE,
    ): Amount {
        val key = borrower to ask
        if (now >= leasedUntil || key in grantedLoans) return Amount.NONE
        val part = wanted.atMost(stock - retained).positive()
        val given = Amount(requests.lend(part.requests), tokens.lend(part.tokens))
        if (given.requests > 0.0 || given.tokens > 0.0) grantedLoans[key] = GrantedLoan(borrower, ask, given, now + LOAN_MS)
        return given
    }

    /** Removes up to [wanted] for a permanent transfer to a peer but leaves [retained] in stock. Transfers nothing without a lease. */
    fun transferOut(
        now: Long,
        wanted: Amount,
        retained: Amount = Amount.NONE,
    ): Amount {
        if (now >= leasedUntil) return Amount.NONE
        val part = wanted.atMost(stock - retained).positive()
        return Amount(requests.transferOut(part.requests), tokens.transferOut(part.tokens))
    }

    /** Returns the free capacity, which is the most that may be requested as a permanent transfer. */
    fun freeCapacity(): Amount = (capacity - stock.positive() - lent - reservedCapacity).positive()

    /** Reserves capacity for [amount], at most [freeCapacity], requested as a permanent transfer by [ask]. */
    fun reserveCapacity(
        now: Long,
        ask: Long,
        amount: Amount,
    ) {
        requests.reserveCapacity(amount.requests)
        tokens.reserveCapacity(amount.tokens)
        pendingTransfers[ask] = PendingTransfer(amount, now + BORROWED_MS)
    }

    /** Adds the tokens [given] for [ask] to the stock. Tokens without reserved capacity, such as those of a late answer, are discarded. */
    fun received(
        ask: Long,
        given: Amount,
    ) {
        pendingTransfers.remove(ask)?.let { receive(it, given) }
    }

    private fun receive(
        transfer: PendingTransfer,
        given: Amount,
    ) {
        requests.receive(transfer.amount.requests, given.requests)
        tokens.receive(transfer.amount.tokens, given.tokens)
    }

    private fun dropExpiredTransfers(now: Long) {
        pendingTransfers.values.removeAll { transfer -> (now >= transfer.endsAt).also { if (it) receive(transfer, Amount.NONE) } }
    }

    /** Ends the loan granted for [ask] and adds [returned] to the stock. A settlement after the end of the loan has no effect. */
    fun settled(
        now: Long,
        borrower: String,
        ask: Long,
        returned: Amount,
    ) {
        endExpiredLoans(now)
        refillTo(now)
        grantedLoans.remove(borrower to ask)?.let { end(it, returned) }
    }

    /** Adds a loan [granted] for an ask sent at [askedAt] (local clock). A loan that arrived too late is returned immediately. */
    fun borrow(
        now: Long,
        lender: String,
        ask: Long,
        askedAt: Long,
        granted: Amount,
    ) {
        if (granted.requests <= 0.0 && granted.tokens <= 0.0) return
        if (now - askedAt >= BORROWED_MS) {
            settlements += Settlement(lender, ask, granted)
        } else {
            borrowedLoans.addLast(BorrowedLoan(lender, ask, askedAt, granted))
        }
    }

    /** Returns the unspent part of the borrowed loans whose ask was sent at or before [askedBefore]. */
    fun returnLoans(askedBefore: Long) = settleLoansIf { it.askedAt <= askedBefore }

    /** Returns whether any loan from a peer is still unspent. */
    fun hasBorrowed(): Boolean = borrowedLoans.isNotEmpty()

    /** Returns and clears the settlements that are to be sent to lenders. */
    fun takeSettlements(): List<Settlement> = settlements.toList().also { settlements.clear() }

    private fun settleSpentLoans() = settleLoansIf { it.left.isNothing() }

    private fun settleExpiredLoans(now: Long) = settleLoansIf { now - it.askedAt >= BORROWED_MS }

    private fun settleLoansIf(isOver: (BorrowedLoan) -> Boolean) {
        if (borrowedLoans.isEmpty()) return
        borrowedLoans.removeAll { loan ->
            isOver(loan).also { if (it) settlements += Settlement(loan.lender, loan.ask, loan.left) }
        }
    }

    private fun refillTo(now: Long) {
        val elapsed = minOf(now, leasedUntil) - maxOf(refilledUntil, refillStartsAt)
        requests.refill(elapsed)
        tokens.refill(elapsed)
        refilledUntil = maxOf(refilledUntil, now)
    }

    /**
     * Refills up to the end of each loan before ending it: the capacity that the loan occupied must not be refilled for the time before its
     * end.
     */
    private fun endExpiredLoans(now: Long) {
        while (true) {
            val oldest = grantedLoans.values.firstOrNull() ?: return
            if (now < oldest.endsAt) return
            refillTo(oldest.endsAt)
            grantedLoans.remove(oldest.borrower to oldest.ask)
            end(oldest, Amount.NONE)
        }
    }

    private fun end(
        loan: GrantedLoan,
        returned: Amount,
    ) {
        requests.endLoan(loan.amount.requests, returned.requests)
        tokens.endLoan(loan.amount.tokens, returned.tokens)
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0

        /** Share of the capacity above which the local stock is spent before borrowed tokens. */
        const val NEARLY_FULL_SHARE = 0.9
    }
}
