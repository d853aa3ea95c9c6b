/*
 * A deterministic simulation of several [ClusterCore]s with a network and a platform. Messages and platform calls are delayed, lost or
 * applied late; processes pause, die, restart and leave. The safety properties are checked after every event.
 */
package io.skylarkstile.core.cluster

import io.skylarkstile.schema.generated.LeaseRecord
import io.skylarkstile.schema.generated.Member
import io.skylarkstile.schema.generated.Roster
import java.util.PriorityQueue
import kotlin.random.Random

internal const val PLATFORM = "platform"
private const val CALL_TIMEOUT_MS = 1_000L
private val timing = ClusterTiming()

/** Simulates one process. Its clock has an origin of its own and runs up to 0.5% fast or slow, so two clocks drift apart by at most 1%. */
internal class SimNode(
    val name: String,
    incarnation: Long,
    dataCentre: String,
    address: String,
    random: Random,
) {
    val core = ClusterCore(Member(name, incarnation, address, address, dataCentre, Member.State.Joining), timing)
    private val rate = 1 + random.nextDouble(-0.005, 0.005)
    private val origin = random.nextLong(1_000_000)
    var alive = true
    var pausedUntil = 0L
    var leaving = false

    fun clock(t: Long): Long = origin + (t * rate).toLong()
}

internal class ClusterSimulation(
    seed: Long,
) {
    private class Event(
        val at: Long,
        val order: Long,
        val node: SimNode?,
        val run: () -> Unit,
    )

    val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private var orders = 0L
    private var incarnations = 0L
    var now = 0L
        private set
    val nodes = ArrayList<SimNode>()
    val resources = List(6) { ledgerResource(it) } + List(6) { targetResource("t$it", "dc${it % 3}") }
    var snapshot = 1L
    private var rosterObject = Versioned(emptyRoster, 0)
    private val leaseObjects = HashMap<String, Versioned<LeaseRecord?>>()

    /** Pairs of sender and receiver between which messages are lost; [PLATFORM] stands for the object API. */
    val cut = HashSet<Pair<String, String>>()
    var lossRate = 0.0
    var slowRate = 0.0

    private data class Versioned<T>(
        val value: T,
        val version: Long,
    )

    val roster: Roster get() = rosterObject.value
    val live: List<SimNode> get() = nodes.filter { it.alive }

    fun add(
        name: String,
        address: String = name,
    ): SimNode {
        val node = SimNode(name, ++incarnations, "dc${name.last().code % 3}", address, random)
        nodes += node
        sendHeartbeat(node)
        step(node)
        return node
    }

    private fun after(
        ms: Long,
        node: SimNode?,
        run: () -> Unit,
    ) {
        events += Event(now + ms, ++orders, node, run)
    }

    /** Runs the events up to [until] milliseconds of simulated time. */
    fun run(until: Long) {
        while (events.isNotEmpty() && events.peek().at <= until) {
            val event = events.poll()
            now = maxOf(now, event.at)
            val node = event.node
            when {
                node == null -> event.run()
                !node.alive -> continue
                node.pausedUntil > now -> events += Event(node.pausedUntil, event.order, node, event.run)
                else -> event.run()
            }
            check()
        }
        now = until
    }

    private fun delayMs(): Long = if (random.nextDouble() < slowRate) random.nextLong(4_000) else random.nextLong(1, 30)

    private fun delivers(
        from: String,
        to: String,
    ) = (from to to) !in cut && random.nextDouble() >= lossRate

    /** Calls [to] from [from]. [serve] runs at the receiver, and [done] at the caller with the answer, or with null after a timeout. */
    private fun <A> call(
        from: SimNode,
        to: String,
        timeoutMs: Long,
        serve: (SimNode?) -> A?,
        done: (A?) -> Unit,
    ) {
        var isFinished = false
        val end = { answer: A? -> if (!isFinished) done(answer).also { isFinished = true } }
        after(timeoutMs, from) { end(null) }
        if (!delivers(from.name, to)) return
        val remote = if (to == PLATFORM) null else live.firstOrNull { it.name == to } ?: return
        after(delayMs(), remote) {
            val answer = serve(remote)
            if (answer != null && delivers(to, from.name)) after(delayMs(), from) { end(answer) }
        }
    }

    private fun sendHeartbeat(node: SimNode) {
        node.core.roster.members
            .filter { it.instance != node.name }
            .forEach { peer -> sendHeartbeat(node, peer.instance) }
        after(timing.heartbeatMs, node) { sendHeartbeat(node) }
    }

    private fun sendHeartbeat(
        node: SimNode,
        peer: String,
    ) {
        val heartbeat = node.core.heartbeat(peer, snapshot, true)
        val sentAt = node.clock(now)
        call(node, peer, timing.leaseMs, { it?.core?.onHeartbeat(node.name, heartbeat, snapshot, it.clock(now)) }) { vouch ->
            if (vouch != null) node.core.onVouch(peer, vouch, sentAt, heartbeat.incarnation)
        }
    }

    private fun step(node: SimNode) {
        val core = node.core
        val actions = core.tick(node.clock(now))
        if (core.mustRejoin()) release(node, core.rejoin(++incarnations))
        actions.forEach { run(node, it) }
        release(node, core.refresh(resources, snapshot))
        core.stillPinned().forEach { if (random.nextInt(10) == 0) core.drain(it, emptyMap()) }
        core.acquire(node.clock(now))
        core.releases().forEach { order ->
            val apply = { peer: SimNode? -> peer?.core?.onRelease(node.name, order.release) }
            call(node, order.to, CALL_TIMEOUT_MS, apply) { if (it != null) core.onReleaseAcknowledged(order) }
        }
        if (node.leaving && core.isLeaving() && core.heldResources().isEmpty()) release(node, core.depart())
        if (node.leaving && core.isLeaving().not() && core.roster.revision > 0 && !core.isListed()) node.alive = false
        after(timing.heartbeatMs / 5, node) { step(node) }
    }

    private fun release(
        node: SimNode,
        released: List<Resource>,
    ) = released.forEach { node.core.drain(it, if (random.nextBoolean()) mapOf("h" to 1) else emptyMap()) }

    private fun run(
        node: SimNode,
        action: ClusterAction,
    ) {
        val core = node.core
        val clock = { node.clock(now) }
        when (action) {
            is ClusterAction.ReadRoster -> readRoster(node, action.peer)
            is ClusterAction.WriteRoster ->
                write(node, { writeRoster(node, action) }) {
                    release(node, core.onRosterWritten(it, action.roster, resources, snapshot, clock()).released)
                }
            is ClusterAction.ReadOwnLease ->
                call(node, PLATFORM, CALL_TIMEOUT_MS, { lease(node.name) }) {
                    if (it == null) core.onOwnLeaseFailure() else core.onOwnLeaseRead(it.value, it.version)
                }
            is ClusterAction.WriteOwnLease ->
                write(node, { writeLease(action.record, action.ifVersion) }) { core.onOwnLeaseWritten(it, action.record.incarnation) }
            is ClusterAction.ReadLease ->
                call(node, PLATFORM, CALL_TIMEOUT_MS, { lease(action.member.instance) }) {
                    if (it == null) core.onLeaseFailure(action.member) else core.onLeaseRead(action.member, it.value, it.version, clock())
                }
            is ClusterAction.Fence ->
                write(node, { writeLease(action.record, action.ifVersion) }) { core.onFenced(action.member, it, clock()) }
            is ClusterAction.AskConsent ->
                call(node, action.to, timing.heartbeatMs, { it?.core?.onConsentRequest(action.request, it.clock(now)) }) {
                    if (it != null) core.onConsent(action.to, action.member, action.request, it, clock())
                }
        }
    }

    private fun readRoster(
        node: SimNode,
        peer: String?,
    ) = call(node, PLATFORM, CALL_TIMEOUT_MS, { rosterObject }) { read ->
        val fallback = live.firstOrNull { it.name == peer && delivers(node.name, it.name) && delivers(it.name, node.name) }?.core?.roster
        if (read == null) node.core.onRosterFailure()
        val roster = read?.value ?: fallback
        if (roster != null) release(node, node.core.adopt(roster, read?.version, resources, snapshot, node.clock(now)).released)
    }

    private fun write(
        node: SimNode,
        serve: () -> WriteOutcome,
        done: (WriteOutcome) -> Unit,
    ) = call(node, PLATFORM, CALL_TIMEOUT_MS, { serve() }) { done(it ?: WriteOutcome.Unknown) }

    private fun lease(name: String) = leaseObjects[name] ?: Versioned(null, 0)

    private fun writeLease(
        record: LeaseRecord,
        ifVersion: Long,
    ): WriteOutcome {
        if (lease(record.instance).version != ifVersion) return WriteOutcome.Conflict
        leaseObjects[record.instance] = Versioned(record, ifVersion + 1)
        return WriteOutcome.Written(ifVersion + 1)
    }

    private fun writeRoster(
        writer: SimNode,
        action: ClusterAction.WriteRoster,
    ): WriteOutcome {
        if (rosterObject.version != action.ifVersion) return WriteOutcome.Conflict
        val gone = roster.members.filter { m -> m.instance != writer.name && m.isVoting && !action.roster.lists(m.instance, m.incarnation) }
        gone.forEach { m ->
            live.find { it.name == m.instance && it.core.me.incarnation == m.incarnation }?.let { assertExpired(it, writer) }
        }
        rosterObject = Versioned(action.roster, action.ifVersion + 1)
        return WriteOutcome.Written(action.ifVersion + 1)
    }

    private fun assertExpired(
        node: SimNode,
        writer: SimNode,
    ) = check(!node.core.hasLease(node.clock(now))) { "at $now ${writer.name} removes ${node.name}, whose lease is valid" }

    private fun check() {
        val leased = live.filter { it.core.hasLease(it.clock(now)) }
        resources.forEach { resource ->
            val holders = leased.filter { it.core.ownership(resource) is Ownership.Held }
            check(holders.size <= 1) { "at $now ${resource.key} has the owners ${holders.map { it.name }}" }
        }
        val shares = leased.filter { it.core.isActive() }.map { it.core.roster.members.size }
        check(shares.sumOf { 1.0 / it } < 1.000001) { "at $now shares of 1/N with N = $shares" }
    }
}
