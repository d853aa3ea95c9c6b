/*
 * Deterministic simulation of several instances that share one workspace's limits, with virtual time, seeded message delays and losses,
 * pauses and crashes. Membership changes follow roster revisions as in section 3.1 of the design page.
 */
package io.skylarkstile.core.limit

import java.util.PriorityQueue
import kotlin.random.Random

/** Records an admitted request. [cost] is the actual cost, without the tokens that were reserved but not generated. */
internal class AdmittedCharge(
    val at: Long,
    var cost: Amount,
)

internal class FleetSimulation(
    seed: Long,
    private val size: Int,
    var limits: QuotaLimits,
    private val lossRate: Double = 0.0,
    private val delayMs: (Random) -> Long = { it.nextLong(1, 4) },
) {
    private class Event(
        val at: Long,
        val order: Long,
        val node: Node?,
        val run: () -> Unit,
    )

    private class Roster(
        val revision: Int,
        val members: Set<String>,
    )

    inner class Node(
        val name: String,
    ) {
        var quota = WorkspaceQuota(0, limits, 1, 50)
        var pausedUntil = 0L
        var removed = false
        var incarnation = 1L
        var leaseRenewedAt = 0L
        private var view = rosters.first()
        private val clockOffset = random.nextLong(0, 1_000_000)
        val now get() = time + clockOffset
        val revision get() = view.revision

        init {
            quota = WorkspaceQuota(now, limits, random.nextLong(1, 1 shl 20), 50)
        }

        fun environment(): QuotaEnvironment {
            val lease = if (removed) 0 else maxOf(0, leaseRenewedAt + 3_000 - time)
            return QuotaEnvironment(lease, view.members.size, incarnation, view.members - name)
        }

        fun applyRoster(roster: Int) {
            if (roster > view.revision) view = rosters[roster]
        }

        fun restart() {
            quota = WorkspaceQuota(now, limits, random.nextLong(1, 1 shl 20), 50)
        }

        fun apply(effects: List<QuotaEffect>) = effects.forEach { perform(this, it) }
    }

    val random = Random(seed)
    var time = 0L
        private set
    private var order = 0L
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private val rosters = mutableListOf(Roster(0, (1..size).map { "i$it" }.toSet()))
    val nodes = (1..size).map { Node("i$it") }
    private val byName = nodes.associateBy { it.name }
    private val tickets = HashMap<QuotaTicket, Pair<Amount, Long>>()
    val admitted = mutableListOf<AdmittedCharge>()
    val refused = mutableListOf<Long>()
    var asks = 0L
        private set

    init {
        nodes.forEach { node ->
            every(5) { if (node.quota.isBusy || time % 250 == 0L) node.apply(node.quota.poll(node.now, node.environment())) }(node)
            every(500) { if (!node.removed) node.leaseRenewedAt = time }(node)
        }
    }

    fun at(
        at: Long,
        node: Node? = null,
        run: () -> Unit,
    ) {
        events += Event(at, order++, node, run)
    }

    /** Returns a function that runs [run] every [ms] milliseconds for a node; a paused node continues when it resumes. */
    private fun every(
        ms: Long,
        run: () -> Unit,
    ): (Node) -> Unit {
        fun next(node: Node) {
            at(time + ms, node) {
                run()
                next(node)
            }
        }
        return ::next
    }

    fun run(until: Long) {
        while (events.isNotEmpty() && events.peek().at <= until) {
            val event = events.poll()
            time = maxOf(time, event.at)
            val node = event.node
            if (node != null && node.pausedUntil > time) at(node.pausedUntil, node, event.run) else event.run()
        }
        time = until
    }

    /** Sends a request that reserves [cost] to [node] and generates [generatedTokens] within [durationMs]. */
    fun offer(
        node: Node,
        cost: Amount,
        generatedTokens: Double = cost.tokens,
        durationMs: Long = 0,
    ) {
        if (node.pausedUntil > time) return
        val (ticket, effects) = node.quota.arrive(node.now, node.environment(), cost)
        tickets[ticket] = Amount(0.0, cost.tokens - generatedTokens) to durationMs
        node.apply(effects)
        at(time + 50, node) { node.apply(node.quota.poll(node.now, node.environment())) }
    }

    fun pause(
        node: Node,
        ms: Long,
        crash: Boolean,
    ) {
        if (node.pausedUntil > time || node.removed) return
        node.pausedUntil = time + ms
        val leaseEnd = node.leaseRenewedAt + 3_000
        if (node.pausedUntil <= leaseEnd) return
        at(leaseEnd + 500) {
            node.removed = true
            changeRoster(rosters.last().members - node.name)
        }
        at(maxOf(node.pausedUntil, leaseEnd + 600) + 200) { rejoin(node, crash) }
    }

    private fun rejoin(
        node: Node,
        crash: Boolean,
    ) {
        if (crash) node.restart()
        changeRoster(rosters.last().members + node.name)
        node.applyRoster(rosters.last().revision)
        activateWhenConfirmed(node, rosters.last().revision)
    }

    private fun activateWhenConfirmed(
        node: Node,
        revision: Int,
    ): Unit = at(time + 50, node) {
        val others = nodes.filter { it !== node && it.name in rosters.last().members && !it.removed }
        if (others.all { it.revision >= revision }) {
            node.removed = false
            node.incarnation++
            node.leaseRenewedAt = time
        } else {
            activateWhenConfirmed(node, revision)
        }
    }

    private fun changeRoster(members: Set<String>) {
        val roster = Roster(rosters.size, members)
        rosters += roster
        nodes.forEach { node -> at(time + random.nextLong(1, 600), node) { node.applyRoster(roster.revision) } }
    }

    private fun perform(
        node: Node,
        effect: QuotaEffect,
    ) {
        when (effect) {
            is QuotaEffect.Admit -> admit(node, effect)
            is QuotaEffect.Refuse -> refused += time
            is QuotaEffect.Ask -> ask(node, effect.ask)
            is QuotaEffect.Settle -> send(byName.getValue(effect.settlement.lender)) { settle(node, it, effect.settlement) }
        }
    }

    private fun admit(
        node: Node,
        effect: QuotaEffect.Admit,
    ) {
        val charge = AdmittedCharge(time, effect.ticket.cost)
        admitted += charge
        val (unused, duration) = tickets.remove(effect.ticket) ?: return
        if (unused.tokens <= 0) return
        charge.cost -= unused
        val quota = node.quota
        at(time + duration, node) {
            if (node.quota === quota) node.apply(quota.refund(node.now, node.environment(), effect.reservation, unused))
        }
    }

    private fun ask(
        node: Node,
        ask: PlannedAsk,
    ) {
        asks++
        val quota = node.quota
        send(byName.getValue(ask.peer)) { lender ->
            val given = lender.quota.lend(lender.now, lender.environment(), node.name, ask.ask, ask.amount, ask.toKeep, ask.urgent)
            send(node) {
                if (node.quota === quota) node.apply(quota.granted(node.now, node.environment(), lender.name, ask.ask, given))
            }
        }
    }

    private fun settle(
        borrower: Node,
        lender: Node,
        settlement: Settlement,
    ) = lender.apply(
        lender.quota.settled(lender.now, lender.environment(), borrower.name, settlement.ask, settlement.returned),
    )

    private fun send(
        to: Node,
        handle: (Node) -> Unit,
    ) {
        if (random.nextDouble() < lossRate) return
        at(time + delayMs(random), to) { handle(to) }
    }
}

/** Returns the largest excess of [charges] over rate x window + burst in any window, for each component separately. */
internal fun largestExcess(
    charges: List<AdmittedCharge>,
    limits: QuotaLimits,
    from: Long = 0,
): Amount {
    var level = Amount.NONE
    var largest = Amount(Double.NEGATIVE_INFINITY, Double.NEGATIVE_INFINITY)
    var last = from
    charges.filter { it.at >= from }.forEach {
        level = (level - limits.perSecond * ((it.at - last) / 1_000.0)).positive() + it.cost
        last = it.at
        val excess = level - limits.burst
        largest = Amount(maxOf(largest.requests, excess.requests), maxOf(largest.tokens, excess.tokens))
    }
    return largest
}
