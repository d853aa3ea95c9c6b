/*
 * Admission control of one workspace on one instance: its local share, loans from and to peers, and the requests that wait for tokens.
 * No function does I/O or reads a clock: the caller passes the time and the cluster state and executes the returned effects.
 */
package io.skylarkstile.core.limit

import kotlin.math.ceil

/** Describes the current cluster state. [leaseRemainingMs] is 0 unless this instance is a full member with a lease. */
data class QuotaEnvironment(
    val leaseRemainingMs: Long,
    val members: Int,
    val incarnation: Long,
    val peers: Set<String>,
)

/**
 * Answers an ask: the [amount] lent or transferred and [fill], the fraction (0 to 1) of the lender's capacity that is still available to
 * peers.
 */
data class QuotaHandover(
    val amount: Amount,
    val fill: Double,
) {
    companion object {
        val NONE = QuotaHandover(Amount.NONE, 0.0)
    }
}

/** Identifies a request that [WorkspaceQuota] decides on. */
class QuotaTicket internal constructor(
    val cost: Amount,
    val deadline: Long,
)

/** Represents an action that the caller of [WorkspaceQuota] must execute. */
sealed interface QuotaEffect {
    /** Lets the request of [ticket] run. */
    data class Admit(
        val ticket: QuotaTicket,
        val reservation: Reservation,
    ) : QuotaEffect

    /** Rejects the request of [ticket]; the reasons are those of [Admission.Refused]. */
    data class Refuse(
        val ticket: QuotaTicket,
        val reason: String,
        val retryAfterMs: Long,
    ) : QuotaEffect

    /** Sends an ask to a peer. */
    data class Ask(
        val ask: PlannedAsk,
    ) : QuotaEffect

    /** Sends a settlement to a lender. */
    data class Settle(
        val settlement: Settlement,
    ) : QuotaEffect
}

/**
 * Decides which requests of one workspace are admitted. A request waits for tokens for at most [waitMs] milliseconds. Not thread-safe.
 * `now` is a monotonic time in milliseconds and must not decrease.
 */
class WorkspaceQuota(
    startedAt: Long,
    limits: QuotaLimits,
    firstAsk: Long,
    private val waitMs: Long,
) {
    val account = ShareAccount(startedAt)
    private val planner = AskPlanner(firstAsk)
    private val demand = DemandEstimate()
    private val waiting = ArrayDeque<QuotaTicket>()
    private var waitingCost = Amount.NONE
    private var members = 0
    private var incarnation: Long? = null
    private var appliedLimits: QuotaLimits? = null
    private val effects = mutableListOf<QuotaEffect>()

    /** Fleet-wide limits. */
    var limits: QuotaLimits = limits
        private set

    /** Whether [poll] must be called soon because requests are waiting or loans must be returned. */
    val isBusy: Boolean get() = waiting.isNotEmpty() || account.hasBorrowed()
    val waitingRequests: Int get() = waiting.size

    /** Applies new [limits] immediately; the time until now is refilled at the previous rate. */
    fun change(
        now: Long,
        environment: QuotaEnvironment,
        limits: QuotaLimits,
    ) {
        update(now, environment)
        this.limits = limits
        update(now, environment)
    }

    /** Adds a request with the given [cost]. The effects admit or refuse its ticket, otherwise it waits. */
    fun arrive(
        now: Long,
        environment: QuotaEnvironment,
        cost: Amount,
    ): Pair<QuotaTicket, List<QuotaEffect>> {
        val ticket = QuotaTicket(cost, now + waitMs)
        update(now, environment)
        when {
            environment.leaseRemainingMs <= 0 -> refuse(ticket, "no-lease", NO_LEASE_RETRY_MS)
            !limits.burst.covers(cost) -> refuse(ticket, "too-large", 0)
            waiting.size >= MAX_WAITING -> refuse(ticket, reason(now, cost), retryAfter(now, cost))
            else -> {
                demand.record(now, cost)
                enqueue(ticket)
            }
        }
        return ticket to decide(now, environment)
    }

    /** Advances to [now]: admits or refuses waiting requests, asks peers for tokens and returns loans that are no longer needed. */
    fun poll(
        now: Long,
        environment: QuotaEnvironment,
    ): List<QuotaEffect> {
        update(now, environment)
        return decide(now, environment)
    }

    /** Adds the tokens that [lender] granted for [ask]. */
    fun granted(
        now: Long,
        environment: QuotaEnvironment,
        lender: String,
        ask: Long,
        answer: QuotaHandover,
    ): List<QuotaEffect> {
        update(now, environment)
        val amount = answer.amount
        planner.answered(now, ask, answer)?.let { asked ->
            if (asked.toKeep) account.received(ask, amount) else account.borrow(now, lender, ask, asked.at, amount)
        }
        return decide(now, environment)
    }

    /** Records that [ask] was not answered. */
    fun askFailed(
        now: Long,
        ask: Long,
    ) = planner.failed(now, ask)

    /**
     * Transfers tokens permanently ([toKeep]) or lends them to [borrower], except those that waiting local requests need. Tokens for
     * expected local requests are also retained, unless requests are already waiting at the borrower ([urgent]).
     */
    fun lend(
        now: Long,
        environment: QuotaEnvironment,
        borrower: String,
        ask: Long,
        wanted: Amount,
        toKeep: Boolean,
        urgent: Boolean,
    ): QuotaHandover {
        update(now, environment)
        val retained = if (urgent) waitingCost else waitingCost + demand.perMs(now) * RETAINED_DEMAND_MS
        val amount = if (toKeep) account.transferOut(now, wanted, retained) else account.lend(now, borrower, ask, wanted, retained)
        return QuotaHandover(amount, (account.stock - retained).fractionOf(account.capacity))
    }

    /** Ends the loan granted to [borrower] for [ask], of which [returned] was not spent. */
    fun settled(
        now: Long,
        environment: QuotaEnvironment,
        borrower: String,
        ask: Long,
        returned: Amount,
    ): List<QuotaEffect> {
        update(now, environment)
        account.settled(now, borrower, ask, returned)
        return decide(now, environment)
    }

    /** Refunds the [unused] part of [reservation]. */
    fun refund(
        now: Long,
        environment: QuotaEnvironment,
        reservation: Reservation,
        unused: Amount,
    ): List<QuotaEffect> {
        update(now, environment)
        account.refund(reservation, unused)
        return decide(now, environment)
    }

    /** Removes a waiting request that its caller has cancelled. */
    fun abandon(ticket: QuotaTicket) = dequeue(ticket)

    private fun update(
        now: Long,
        environment: QuotaEnvironment,
    ) {
        account.advance(now, environment.leaseRemainingMs)
        if (incarnation != null && incarnation != environment.incarnation) account.reset(now)
        incarnation = environment.incarnation
        if (members == environment.members && appliedLimits == limits) return
        members = environment.members
        appliedLimits = limits
        account.setLimits(limits, members)
    }

    private fun decide(
        now: Long,
        environment: QuotaEnvironment,
    ): List<QuotaEffect> {
        admitWaiting(now)
        refuseExpired(now, environment)
        if (environment.leaseRemainingMs > 0) planAsks(now, environment)
        account.returnLoans(now - LOAN_RETURN_MS)
        account.takeSettlements().mapTo(effects) { QuotaEffect.Settle(it) }
        return effects.toList().also { effects.clear() }
    }

    private fun admitWaiting(now: Long) {
        while (waiting.isNotEmpty()) {
            val ticket = waiting.first()
            val reservation = account.reserve(now, ticket.cost) ?: return
            dequeue(ticket)
            effects += QuotaEffect.Admit(ticket, reservation)
        }
    }

    private fun refuseExpired(
        now: Long,
        environment: QuotaEnvironment,
    ) {
        while (waiting.isNotEmpty() && (waiting.first().deadline <= now || environment.leaseRemainingMs <= 0)) {
            val ticket = waiting.first()
            dequeue(ticket)
            val leased = environment.leaseRemainingMs > 0
            val reason = if (leased) reason(now, ticket.cost) else "no-lease"
            val retry = if (leased) retryAfter(now, ticket.cost) else NO_LEASE_RETRY_MS
            refuse(ticket, reason, retry)
            admitWaiting(now)
        }
    }

    /**
     * Asks peers for permanent transfers, so that their refill is not lost while this instance serves more than its share of the demand.
     * When the waiting requests need more than the free capacity, asks for loans instead.
     */
    private fun planAsks(
        now: Long,
        environment: QuotaEnvironment,
    ) {
        val held = account.available(now) + planner.expected(now)
        val shortfall = (waitingCost - held).positive()
        val urgent = !shortfall.isNothing()
        val perMs = demand.perMs(now).atMost(limits.perSecond * (1.0 / MS_PER_SECOND))
        val freeCapacity = account.freeCapacity()
        val target = (perMs * TARGET_DEMAND_MS).atMost(account.capacity * TARGET_CAPACITY_SHARE)
        val wanted = (target - held).positive().atMost(freeCapacity)
        val chunk = (perMs * CHUNK_DEMAND_MS).atLeast(account.capacity * MIN_CHUNK_CAPACITY_SHARE)
        val chunks = maxOf(wanted.requests / chunk.requests, wanted.tokens / chunk.tokens).toInt()
        if (!urgent && chunks == 0) return
        val toKeep = freeCapacity.covers(shortfall)
        val need = if (toKeep) wanted.atLeast(shortfall) else shortfall
        val refillPerMs = limits.perSecond.fractionOf(limits.burst) / MS_PER_SECOND
        val asks =
            if (urgent) {
                planner.planUrgent(now, need, environment.peers, refillPerMs, toKeep)
            } else {
                planner.planAhead(now, need, environment.peers, refillPerMs, chunks)
            }
        asks.forEach {
            if (it.toKeep) account.reserveCapacity(now, it.ask, it.amount)
            effects += QuotaEffect.Ask(it)
        }
    }

    private fun enqueue(ticket: QuotaTicket) {
        waiting.addLast(ticket)
        waitingCost += ticket.cost
    }

    private fun dequeue(ticket: QuotaTicket) {
        if (!waiting.remove(ticket)) return
        // Resets the sum of an empty queue, because floating-point errors would accumulate.
        waitingCost = if (waiting.isEmpty()) Amount.NONE else waitingCost - ticket.cost
    }

    private fun reason(
        now: Long,
        cost: Amount,
    ): String = if (account.available(now).requests + Amount.ROUNDING_TOLERANCE < cost.requests) "rate" else "token-rate"

    /** Returns the time in ms that the fleet needs to refill the tokens missing for [cost] and the requests waiting before it. */
    private fun retryAfter(
        now: Long,
        cost: Amount,
    ): Long {
        val shortfall = (cost + waitingCost - account.available(now)).positive()
        val seconds = maxOf(shortfall.requests / limits.perSecond.requests, shortfall.tokens / limits.perSecond.tokens)
        return ceil(seconds * MS_PER_SECOND).toLong().coerceIn(MIN_RETRY_MS, MAX_RETRY_MS)
    }

    private fun refuse(
        ticket: QuotaTicket,
        reason: String,
        retryAfterMs: Long,
    ) {
        effects += QuotaEffect.Refuse(ticket, reason, retryAfterMs)
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0

        /**
         * Maximum number of waiting requests. Further ones are refused immediately because they could not be served within a wait of 50 ms.
         */
        const val MAX_WAITING = 1_000

        /**
         * Age in ms, counted from its ask, at which a loan is returned: early enough for the settlement to arrive before the lender ends
         * the loan.
         */
        const val LOAN_RETURN_MS = 350L

        /** Local demand in ms for which tokens are not lent, because this instance would have to borrow them back. */
        const val RETAINED_DEMAND_MS = 50.0

        /**
         * Local demand in ms that the stock should cover. With 1 s, workspaces with callers on all instances were refused three times as
         * often: an instance asked only after peers with less demand had already lost refill.
         */
        const val TARGET_DEMAND_MS = 2_000.0

        /** Share of the local capacity up to which tokens are requested from peers; the rest is left for the local refill. */
        const val TARGET_CAPACITY_SHARE = 0.9

        /** Local demand in ms that one ask covers. Larger asks need fewer messages, but full peers lose refill in the meantime. */
        const val CHUNK_DEMAND_MS = 100.0

        /** Minimum share of the local capacity that one ask covers, even when demand is low. */
        const val MIN_CHUNK_CAPACITY_SHARE = 0.1
        const val MIN_RETRY_MS = 50L
        const val MAX_RETRY_MS = 60_000L
        const val NO_LEASE_RETRY_MS = 1_000L
    }
}
