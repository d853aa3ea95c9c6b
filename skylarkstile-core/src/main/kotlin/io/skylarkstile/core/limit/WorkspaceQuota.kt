/*
 * Admission of one workspace on one instance: the own share, loans from and to peers, and the requests that wait for tokens.
 *
 * All functions are pure decisions: the caller passes the time and the state of the cluster and carries out the returned effects.
 */
package io.skylarkstile.core.limit

import kotlin.math.ceil

/** Describes the cluster at one moment. [leaseRemainingMs] is 0 unless this instance is a full member with a lease. */
data class QuotaEnvironment(
    val leaseRemainingMs: Long,
    val members: Int,
    val incarnation: Long,
    val peers: Set<String>,
)

/** Answers an ask: the [amount] handed over and the part of the lender's capacity that could still be handed over ([fill], 0 to 1). */
data class QuotaHandover(
    val amount: Amount,
    val fill: Double,
) {
    companion object {
        val NONE = QuotaHandover(Amount.NONE, 0.0)
    }
}

/** One request on its way through [WorkspaceQuota]. */
class QuotaTicket internal constructor(
    val cost: Amount,
    val deadline: Long,
)

/** Something that the caller of [WorkspaceQuota] has to carry out. */
sealed interface QuotaEffect {
    /** The request of [ticket] may run. */
    data class Admit(
        val ticket: QuotaTicket,
        val reservation: Reservation,
    ) : QuotaEffect

    /** The request of [ticket] must not run; the reasons are those of [Admission.Refused]. */
    data class Refuse(
        val ticket: QuotaTicket,
        val reason: String,
        val retryAfterMs: Long,
    ) : QuotaEffect

    /** An ask is to be sent. */
    data class Ask(
        val ask: PlannedAsk,
    ) : QuotaEffect

    /** A settlement is to be sent. */
    data class Settle(
        val settlement: Settlement,
    ) : QuotaEffect
}

/** Decides admissions of one workspace. It is not thread-safe; `now` is monotonic milliseconds and never decreases. */
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
    private var limited: QuotaLimits? = null
    private val effects = mutableListOf<QuotaEffect>()

    /** Fleet-wide limits. */
    var limits: QuotaLimits = limits
        private set

    /** Returns whether the next [poll] is due soon rather than at leisure. */
    val isBusy: Boolean get() = waiting.isNotEmpty() || account.hasBorrowed()
    val waitingRequests: Int get() = waiting.size

    /** Applies new [limits] at once; the time before counts at the previous rate. */
    fun change(
        now: Long,
        environment: QuotaEnvironment,
        limits: QuotaLimits,
    ) {
        update(now, environment)
        this.limits = limits
        update(now, environment)
    }

    /** Adds a request that costs [cost]; its ticket is admitted, refused or waiting. */
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

    /** Continues at time [now]: admits, refuses or borrows for waiting requests, and returns loans that are no longer needed. */
    fun poll(
        now: Long,
        environment: QuotaEnvironment,
    ): List<QuotaEffect> {
        update(now, environment)
        return decide(now, environment)
    }

    /** Adds a grant for [ask]. */
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

    /** Notes that [ask] has no answer. */
    fun askFailed(
        now: Long,
        ask: Long,
    ) = planner.failed(now, ask)

    /**
     * Gives tokens for good ([toKeep]) or lends them to [borrower], beyond what the own requests need now. Expected requests come before
     * those that a peer expects, but not before those that already wait there ([urgent]).
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
        val keep = if (urgent) waitingCost else waitingCost + demand.perMs(now) * KEEP_MS
        val amount = if (toKeep) account.give(now, wanted, keep) else account.lend(now, borrower, ask, wanted, keep)
        return QuotaHandover(amount, (account.stock - keep).partOf(account.capacity))
    }

    /** Ends a loan to [borrower]. */
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

    /** Returns the [unused] part of [reservation]. */
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

    /** Removes a waiting request whose caller has gone. */
    fun abandon(ticket: QuotaTicket) = dequeue(ticket)

    private fun update(
        now: Long,
        environment: QuotaEnvironment,
    ) {
        account.advance(now, environment.leaseRemainingMs)
        if (incarnation != null && incarnation != environment.incarnation) account.reset(now)
        incarnation = environment.incarnation
        if (members == environment.members && limited == limits) return
        members = environment.members
        limited = limits
        account.limit(limits, members)
    }

    private fun decide(
        now: Long,
        environment: QuotaEnvironment,
    ): List<QuotaEffect> {
        admitWaiting(now)
        refuseLate(now, environment)
        if (environment.leaseRemainingMs > 0) planAsks(now, environment)
        account.giveBack(now - HOLD_MS)
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

    private fun refuseLate(
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
     * Asks for tokens to keep, so that the peers' refill is not lost while this instance serves more than its part of the demand. When
     * the waiting requests need more than there is room for, asks for loans.
     */
    private fun planAsks(
        now: Long,
        environment: QuotaEnvironment,
    ) {
        val held = account.available(now) + planner.expected(now)
        val lacking = (waitingCost - held).positive()
        val urgent = !lacking.isNothing()
        val perMs = demand.perMs(now).atMost(limits.perSecond * (1.0 / MS_PER_SECOND))
        val room = account.room()
        val target = (perMs * HORIZON_MS).atMost(account.capacity * TARGET_PART)
        val wanted = (target - held).positive().atMost(room)
        val chunk = (perMs * CHUNK_MS).atLeast(account.capacity * CHUNK_PART)
        val chunks = maxOf(wanted.requests / chunk.requests, wanted.tokens / chunk.tokens).toInt()
        if (!urgent && chunks == 0) return
        val toKeep = room.covers(lacking)
        val need = if (toKeep) wanted.atLeast(lacking) else lacking
        val refillPerMs = limits.perSecond.partOf(limits.burst) / MS_PER_SECOND
        val asks =
            if (urgent) {
                planner.planUrgent(now, need, environment.peers, refillPerMs, toKeep)
            } else {
                planner.planAhead(now, need, environment.peers, refillPerMs, chunks)
            }
        asks.forEach {
            if (it.toKeep) account.expect(now, it.ask, it.amount)
            effects += QuotaEffect.Ask(it)
        }
    }

    private fun enqueue(ticket: QuotaTicket) {
        waiting.addLast(ticket)
        waitingCost += ticket.cost
    }

    private fun dequeue(ticket: QuotaTicket) {
        if (!waiting.remove(ticket)) return
        // Sums of fractions drift; an empty queue costs exactly nothing.
        waitingCost = if (waiting.isEmpty()) Amount.NONE else waitingCost - ticket.cost
    }

    private fun reason(
        now: Long,
        cost: Amount,
    ): String = if (account.available(now).requests + Amount.ROUNDING < cost.requests) "rate" else "token-rate"

    /** Returns the time in ms in which the fleet refills what [cost] and the requests before it lack. */
    private fun retryAfter(
        now: Long,
        cost: Amount,
    ): Long {
        val lacking = (cost + waitingCost - account.available(now)).positive()
        val seconds = maxOf(lacking.requests / limits.perSecond.requests, lacking.tokens / limits.perSecond.tokens)
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

        /** Waiting requests beyond this number are refused at once; a wait of 50 ms could not serve them. */
        const val MAX_WAITING = 1_000

        /** Loans asked for this long ago are returned, early enough for the settlement to arrive before the lender ends the loan. */
        const val HOLD_MS = 350L

        /** Own demand in ms that is not lent; lending it would only be borrowed back. */
        const val KEEP_MS = 50.0

        /**
         * Demand in ms up to which tokens are kept in stock. With 1 s, callers on all instances were refused three times as often, since
         * an instance did not ask before peers with less demand had lost refill.
         */
        const val HORIZON_MS = 2_000.0

        /** Part of the own capacity up to which tokens of peers are asked for; the rest is room for the own refill. */
        const val TARGET_PART = 0.9

        /** Demand in ms that one ask covers. Larger asks need fewer messages, but the refill of full peers is lost meanwhile. */
        const val CHUNK_MS = 100.0

        /** Least part of the own capacity that one ask covers, also when demand is low. */
        const val CHUNK_PART = 0.1
        const val MIN_RETRY_MS = 50L
        const val MAX_RETRY_MS = 60_000L
        const val NO_LEASE_RETRY_MS = 1_000L
    }
}
