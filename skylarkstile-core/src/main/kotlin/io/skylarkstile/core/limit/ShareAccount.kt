/*
 * The share of one instance in the fleet-wide rate and burst of one workspace.
 *
 * With N members each refills at rate/N up to burst/N. Tokens lent to a peer keep occupying the lender's capacity until the borrower
 * settles the loan or [LOAN_MS] have passed since the ask arrived; the borrower stops using them [BORROWED_MS] after its own ask.
 * Tokens given for good are covered by room that the receiver keeps free in its own capacity from its ask until the answer arrives or
 * [BORROWED_MS] have passed. So at every moment all stocks, all tokens under way and all usable loans together are at most the burst,
 * whatever messages are lost.
 */
package io.skylarkstile.core.limit

/** Time in ms after receipt of an ask during which the loan occupies the lender's capacity. */
const val LOAN_MS = 1_000L

/** Time in ms after its ask during which a borrower may use a loan. The difference to [LOAN_MS] covers clock rates differing by 1%. */
const val BORROWED_MS = 800L

/** Records what one admission was charged. */
class Reservation internal constructor(
    val charged: Amount,
    internal val account: ShareAccount,
    internal val generation: Int,
    internal val requestsSince: Long,
    internal val tokensSince: Long,
)

/** Tells a lender that the loan of [ask] is over; [returned] was not spent. */
data class Settlement(
    val lender: String,
    val ask: Long,
    val returned: Amount,
)

/** Keeps one instance's account of one workspace. It is not thread-safe; `now` is monotonic milliseconds and never decreases. */
class ShareAccount(
    startedAt: Long,
) {
    private class Loan(
        val borrower: String,
        val ask: Long,
        val amount: Amount,
        val endsAt: Long,
    )

    private class Lot(
        val lender: String,
        val ask: Long,
        val askedAt: Long,
        var left: Amount,
    )

    private class Arrival(
        val amount: Amount,
        val endsAt: Long,
    )

    private val requests = Bucket()
    private val tokens = Bucket()
    private val loans = LinkedHashMap<Pair<String, Long>, Loan>()
    private val lots = ArrayDeque<Lot>()
    private val arrivals = LinkedHashMap<Long, Arrival>()
    private val settlements = mutableListOf<Settlement>()
    private var refilledTo = startedAt
    private var leasedUntil = startedAt
    private var generation = 0

    /**
     * A previous process of this instance may have lent tokens just before it ended, and the other members may have lent more than their
     * capacity allows since this instance takes a share. Refill starts when such loans are over.
     */
    private var refillsFrom = startedAt + LOAN_MS

    val stock: Amount get() = Amount(requests.stock, tokens.stock)
    val lent: Amount get() = Amount(requests.lent, tokens.lent)
    val expected: Amount get() = Amount(requests.expected, tokens.expected)
    val capacity: Amount get() = Amount(requests.capacity, tokens.capacity)

    /** Returns the unspent borrowed amount. */
    val borrowed: Amount get() = lots.fold(Amount.NONE) { sum, lot -> sum + lot.left }

    /** Applies [limits] shared by [members] instances. Call [advance] first, so that past time counts at the previous rate. */
    fun limit(
        limits: QuotaLimits,
        members: Int,
    ) {
        val n = maxOf(1, members).toDouble()
        requests.limit(limits.perSecond.requests / n / MS_PER_SECOND, limits.burst.requests / n)
        tokens.limit(limits.perSecond.tokens / n / MS_PER_SECOND, limits.burst.tokens / n)
    }

    /**
     * Refills for the leased time since the last call and ends loans that are over. Time after the end of the last known lease adds
     * nothing, also when a new lease has begun since: the process may have been paused and removed meanwhile.
     */
    fun advance(
        now: Long,
        leaseRemainingMs: Long,
    ) {
        endOldLoans(now)
        dropOldLots(now)
        refillTo(now)
        dropOldArrivals(now)
        leasedUntil = now + maxOf(0, leaseRemainingMs)
    }

    /** Empties the account after this instance was admitted to the roster anew. Earlier reservations can no longer be refunded. */
    fun reset(now: Long) {
        generation++
        refillsFrom = now + LOAN_MS
        requests.empty()
        tokens.empty()
        lots.forEach { settlements += Settlement(it.lender, it.ask, it.left) }
        lots.clear()
        arrivals.values.forEach { receive(it, Amount.NONE) }
        arrivals.clear()
    }

    /** Returns what can be spent now: nothing without a lease. */
    fun available(now: Long): Amount = if (now < leasedUntil) stock + borrowed else Amount.NONE

    /**
     * Charges both goods of [cost] or returns `null` and charges nothing. Borrowed tokens are spent first because they run out, except
     * while the own buckets are nearly full: their refill would be lost.
     */
    fun reserve(
        now: Long,
        cost: Amount,
    ): Reservation? {
        if (!available(now).covers(cost)) return null
        val fromLots = if (stock.covers(capacity * NEARLY_FULL)) (cost - stock.positive()).positive() else cost
        var open = fromLots
        for (lot in lots) {
            val part = lot.left.atMost(open)
            lot.left -= part
            open -= part
        }
        val own = cost - fromLots + open
        requests.take(own.requests)
        tokens.take(own.tokens)
        settleSpentLots()
        return Reservation(cost, this, generation, requests.position, tokens.position)
    }

    /** Returns [unused] of [reservation] to the own buckets, as far as they would hold it had it never been charged. */
    fun refund(
        reservation: Reservation,
        unused: Amount,
    ) {
        if (reservation.account !== this || reservation.generation != generation) return
        val amount = unused.positive().atMost(reservation.charged)
        requests.refund(amount.requests, reservation.requestsSince)
        tokens.refund(amount.tokens, reservation.tokensSince)
    }

    /** Lends up to [wanted] to [borrower] but leaves [keep] in stock; lends nothing without a lease or for a repeated ask number. */
    fun lend(
        now: Long,
        borrower: String,
        ask: Long,
        wanted: Amount,
        keep: Amount = Amount.NONE,
    ): Amount {
        val key = borrower to ask
        if (now >= leasedUntil || key in loans) return Amount.NONE
        val part = wanted.atMost(stock - keep).positive()
        val given = Amount(requests.lend(part.requests), tokens.lend(part.tokens))
        if (given.requests > 0.0 || given.tokens > 0.0) loans[key] = Loan(borrower, ask, given, now + LOAN_MS)
        return given
    }

    /** Gives up to [wanted] for good but leaves [keep] in stock; gives nothing without a lease. */
    fun give(
        now: Long,
        wanted: Amount,
        keep: Amount = Amount.NONE,
    ): Amount {
        if (now >= leasedUntil) return Amount.NONE
        val part = wanted.atMost(stock - keep).positive()
        return Amount(requests.give(part.requests), tokens.give(part.tokens))
    }

    /** Returns how much may be asked for to be kept. */
    fun room(): Amount = (capacity - stock.positive() - lent - expected).positive()

    /** Keeps room for [amount], at most [room], asked for as [ask]. */
    fun expect(
        now: Long,
        ask: Long,
        amount: Amount,
    ) {
        requests.expect(amount.requests)
        tokens.expect(amount.tokens)
        arrivals[ask] = Arrival(amount, now + BORROWED_MS)
    }

    /** Adds what was [given] for [ask] to the stock. Tokens without kept room, such as those of a late answer, are lost. */
    fun received(
        ask: Long,
        given: Amount,
    ) {
        arrivals.remove(ask)?.let { receive(it, given) }
    }

    private fun receive(
        arrival: Arrival,
        given: Amount,
    ) {
        requests.receive(arrival.amount.requests, given.requests)
        tokens.receive(arrival.amount.tokens, given.tokens)
    }

    private fun dropOldArrivals(now: Long) {
        arrivals.values.removeAll { arrival -> (now >= arrival.endsAt).also { if (it) receive(arrival, Amount.NONE) } }
    }

    /** Ends the loan of [ask]; [returned] comes back to stock. A settlement after the end of the loan has no effect. */
    fun settled(
        now: Long,
        borrower: String,
        ask: Long,
        returned: Amount,
    ) {
        endOldLoans(now)
        refillTo(now)
        loans.remove(borrower to ask)?.let { end(it, returned) }
    }

    /** Adds a grant for an ask made at [askedAt] (own clock); one that came too late is given back at once. */
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
            lots.addLast(Lot(lender, ask, askedAt, granted))
        }
    }

    /** Gives back what is left of loans asked for at or before [askedBefore]. */
    fun giveBack(askedBefore: Long) = settleLots { it.askedAt <= askedBefore }

    /** Returns whether any loan from a peer is unspent. */
    fun hasBorrowed(): Boolean = lots.isNotEmpty()

    /** Returns the settlements to send since the last call. */
    fun takeSettlements(): List<Settlement> = settlements.toList().also { settlements.clear() }

    private fun settleSpentLots() = settleLots { it.left.isNothing() }

    private fun dropOldLots(now: Long) = settleLots { now - it.askedAt >= BORROWED_MS }

    private fun settleLots(over: (Lot) -> Boolean) {
        if (lots.isEmpty()) return
        lots.removeAll { lot -> over(lot).also { if (it) settlements += Settlement(lot.lender, lot.ask, lot.left) } }
    }

    private fun refillTo(now: Long) {
        val elapsed = minOf(now, leasedUntil) - maxOf(refilledTo, refillsFrom)
        requests.refill(elapsed)
        tokens.refill(elapsed)
        refilledTo = maxOf(refilledTo, now)
    }

    /** Refills up to the end of each loan first: the room that a loan occupied must not be refilled for the time before its end. */
    private fun endOldLoans(now: Long) {
        while (true) {
            val oldest = loans.values.firstOrNull() ?: return
            if (now < oldest.endsAt) return
            refillTo(oldest.endsAt)
            loans.remove(oldest.borrower to oldest.ask)
            end(oldest, Amount.NONE)
        }
    }

    private fun end(
        loan: Loan,
        returned: Amount,
    ) {
        requests.endLoan(loan.amount.requests, returned.requests)
        tokens.endLoan(loan.amount.tokens, returned.tokens)
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0

        /** Part of the capacity above which the own stock is spent before borrowed tokens. */
        const val NEARLY_FULL = 0.9
    }
}
