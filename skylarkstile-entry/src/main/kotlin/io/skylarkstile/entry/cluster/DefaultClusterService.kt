/*
 * Runs the cluster membership: sends heartbeats, performs the actions that the core requests, and notifies listeners.
 */
package io.skylarkstile.entry.cluster

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.core.cluster.ClusterAction
import io.skylarkstile.core.cluster.ClusterCore
import io.skylarkstile.core.cluster.ClusterTiming
import io.skylarkstile.core.cluster.Ownership
import io.skylarkstile.core.cluster.ReleaseOrder
import io.skylarkstile.core.cluster.Resource
import io.skylarkstile.core.cluster.ResourceHolder
import io.skylarkstile.core.cluster.emptyRoster
import io.skylarkstile.schema.generated.Member
import io.skylarkstile.schema.generated.ReleaseReply
import io.skylarkstile.schema.generated.Roster
import io.skylarkstile.schema.generated.RosterReply
import io.skylarkstile.transport.peer.MessageKinds
import io.skylarkstile.transport.peer.SEED_PREFIX
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList

private val log = KotlinLogging.logger {}

/** Number of core steps per heartbeat interval. */
private const val STEPS_PER_HEARTBEAT = 5

/** Implements [ClusterService] with coroutines around the state machine [ClusterCore]. */
internal class DefaultClusterService(
    selfMember: Member,
    private val timing: ClusterTiming,
    private val seeds: List<String>,
    private val env: ClusterEnv,
) : ClusterService {
    private val scope = CoroutineScope(SupervisorJob() + env.dispatcher)
    private val network = env.network
    private val core = SynchronizedClusterCore(ClusterCore(selfMember, timing))
    private val membershipStore = MembershipStore(network, env.store, timing.leaseMs / 3)
    private val coordinator =
        OwnershipCoordinator(core, env.snapshotRevision, env.snapshotKnownRevision, env.now)
    private val leaseEventDetector = LeaseEventDetector(timing)
    private val listeners = CopyOnWriteArrayList<ClusterListener>()
    private val releasesInFlight = ConcurrentHashMap.newKeySet<Long>()

    /** Triggers an early heartbeat, so that the other members learn of a new roster at once. */
    private val heartbeatTrigger = Channel<Unit>(Channel.CONFLATED)

    override val self: String = core.self

    override fun register(holder: ResourceHolder) = coordinator.register(holder)

    override fun addListener(listener: ClusterListener) {
        listeners += listener
    }

    override fun start() {
        registerHandlers()
        setPeers(emptyRoster)
        scope.launch { stepLoop() }
        scope.launch { heartbeatLoop() }
    }

    private fun registerHandlers() {
        network.answer(MessageKinds.heartbeat, MessageKinds.vouch) { from, heartbeat ->
            if (heartbeat.snapshotRevision > env.snapshotRevision()) {
                listeners.forEach { it.onNewerSnapshot(from, heartbeat.snapshotRevision) }
            }
            core.use { it.onHeartbeat(from, heartbeat, env.snapshotRevision(), env.now()) }
        }
        network.answer(MessageKinds.consentRequest, MessageKinds.consentReply) { _, request ->
            core.use { it.onConsentRequest(request, env.now()) }
        }
        network.answer(MessageKinds.rosterAsk, MessageKinds.rosterReply) { _, _ -> RosterReply(roster = core.use { it.roster }) }
        network.answer(MessageKinds.release, MessageKinds.releaseReply) { from, release ->
            core.use {
                it.onRelease(from, release)
                ReleaseReply(rosterRevision = it.roster.revision)
            }
        }
    }

    private suspend fun stepLoop() {
        while (true) {
            try {
                step()
            } catch (e: RuntimeException) {
                // A failing holder or listener must not stop the renewal of the lease.
                log.event(Level.ERROR, "membership-step-failed", cause = e) { "a membership step failed" }
            }
            delay(timing.heartbeatMs / STEPS_PER_HEARTBEAT)
        }
    }

    private fun step() {
        val actions = core.use { it.tick(env.now()) }
        rejoinIfNeeded()
        actions.forEach { action -> scope.launch { run(action) } }
        notifyLeaseListeners()
        coordinator.step()
        sendReleases()
    }

    private fun rejoinIfNeeded() {
        if (!core.use { it.mustRejoin() }) return
        val incarnation =
            core.use { c ->
                maxOf(
                    env.wallClock(),
                    maxOf(
                        c.me.incarnation,
                        c.roster.members
                            .find { it.instance == self }
                            ?.incarnation ?: 0,
                    ) + 1,
                )
            }
        log.event(Level.WARN, "membership-rejoin", "incarnation" to incarnation) {
            "this instance was removed or paused for longer than its lease; it rejoins"
        }
        coordinator.changeOwnership { _, _ -> core.use { it.rejoin(incarnation) } }
        network.renew(incarnation)
    }

    private fun notifyLeaseListeners() {
        val now = env.now()
        val events = core.use { leaseEventDetector.detect(it.hasLease(now), it.unconfirmedMs(now)) }
        for (event in events) {
            listeners.forEach { notifyListener(it, event) }
        }
    }

    private fun notifyListener(
        listener: ClusterListener,
        event: LeaseEvent,
    ) = when (event) {
        LeaseEvent.Gained -> listener.onLeaseGained()
        LeaseEvent.Lapsed -> listener.onLeaseLapsed()
        LeaseEvent.Isolated -> listener.onIsolated()
    }

    private suspend fun heartbeatLoop() {
        while (true) {
            core
                .use { it.roster }
                .members
                .filter { it.instance != self }
                .forEach { scope.launch { sendHeartbeat(it.instance) } }
            withTimeoutOrNull(timing.heartbeatMs) { heartbeatTrigger.receive() }
        }
    }

    private suspend fun sendHeartbeat(peer: String) {
        val (heartbeat, sentAt) =
            coordinator.withStableOwnership {
                core.use {
                    it.heartbeat(peer, env.snapshotRevision(), membershipStore.isReachable) to
                        env.now()
                }
            }
        network.call(peer, MessageKinds.heartbeat, heartbeat, MessageKinds.vouch, timing.leaseMs).onSuccess { vouch ->
            core.use { it.onVouch(peer, vouch, sentAt, heartbeat.incarnation) }
            if (vouch.snapshotRevision > env.snapshotRevision()) listeners.forEach { it.onNewerSnapshot(peer, vouch.snapshotRevision) }
        }
    }

    private fun sendReleases() =
        core.use { it.releases() }.filter { releasesInFlight.add(it.sequence) }.forEach { order -> scope.launch { send(order) } }

    private suspend fun send(order: ReleaseOrder) {
        try {
            network
                .call(order.to, MessageKinds.release, order.release, MessageKinds.releaseReply, timing.leaseMs / 3)
                .onSuccess { core.use { c -> c.onReleaseAcknowledged(order) } }
                .onFailure { delay(timing.heartbeatMs / STEPS_PER_HEARTBEAT) }
        } finally {
            releasesInFlight.remove(order.sequence)
        }
    }

    private suspend fun run(action: ClusterAction) {
        when (action) {
            is ClusterAction.ReadRoster -> readRoster(action.peer)
            is ClusterAction.WriteRoster -> writeRoster(action)
            is ClusterAction.ReadOwnLease -> readOwnLease()
            is ClusterAction.WriteOwnLease -> writeOwnLease(action)
            is ClusterAction.ReadLease -> readLease(action.member)
            is ClusterAction.Fence -> fence(action)
            is ClusterAction.AskConsent -> askConsent(action)
        }
    }

    private suspend fun readRoster(reportingPeer: String?) {
        membershipStore.readRoster().fold(
            { adopt(it.value ?: emptyRoster, it.version) },
            {
                val peers = listOfNotNull(reportingPeer) + network.connected()
                membershipStore.newerRosterFromPeersOrNull(peers.distinct(), rosterRevision())?.let { adopt(it, null) }
                core.use { it.onRosterFailure() }
            },
        )
    }

    private fun adopt(
        roster: Roster,
        version: Long?,
    ) = changeRoster { resources, snapshot -> core.use { it.adopt(roster, version, resources, snapshot, env.now()) } }

    private suspend fun writeRoster(action: ClusterAction.WriteRoster) {
        val outcome = membershipStore.writeRoster(action.roster, action.ifVersion)
        changeRoster { resources, snapshot ->
            core.use { it.onRosterWritten(outcome, action.roster, resources, snapshot, env.now()) }
        }
    }

    private fun changeRoster(change: (List<Resource>, Long) -> ClusterCore.Adoption) {
        var changed = false
        coordinator.changeOwnership { resources, snapshot -> change(resources, snapshot).also { changed = it.changed }.released }
        if (!changed) return
        val roster = core.use { it.roster }
        log.event(Level.INFO, "roster-changed", "revision" to roster.revision) {
            "the roster is ${roster.members.joinToString { "${it.instance} ${it.state.value}" }}"
        }
        setPeers(roster)
        listeners.forEach { it.onRoster(roster) }
        heartbeatTrigger.trySend(Unit)
    }

    /** Connects to all members. Without a roster it connects to the seeds, whose instance names are not known yet. */
    private fun setPeers(roster: Roster) {
        roster.members.filter { it.instance != self }.forEach { network.requireIncarnation(it.instance, it.incarnation) }
        network.setPeers(
            if (roster.revision > 0) {
                roster.members.associate { it.instance to it.peerAddress }
            } else {
                seeds.associateBy { SEED_PREFIX + it }
            },
        )
    }

    private suspend fun readOwnLease() = membershipStore
        .readLease(
            self,
        ).fold({ r -> core.use { it.onOwnLeaseRead(r.value, r.version) } }, { core.use { it.onOwnLeaseFailure() } })

    private suspend fun writeOwnLease(action: ClusterAction.WriteOwnLease) {
        val outcome = membershipStore.writeLease(action.record, action.ifVersion)
        core.use { it.onOwnLeaseWritten(outcome, action.record.incarnation) }
    }

    private suspend fun readLease(member: Member) = membershipStore.readLease(member.instance).fold(
        { r -> core.use { it.onLeaseRead(member, r.value, r.version, env.now()) } },
        { core.use { it.onLeaseFailure(member) } },
    )

    private suspend fun fence(action: ClusterAction.Fence) {
        val outcome = membershipStore.writeLease(action.record, action.ifVersion)
        core.use { it.onFenced(action.member, outcome, env.now()) }
    }

    private suspend fun askConsent(action: ClusterAction.AskConsent) {
        network
            .call(action.to, MessageKinds.consentRequest, action.request, MessageKinds.consentReply, timing.heartbeatMs)
            .onSuccess { reply -> core.use { it.onConsent(action.to, action.member, action.request, reply, env.now()) } }
    }

    override fun members(): List<Member> = core.use { it.roster }.members

    override fun rosterRevision(): Long = core.use { it.roster }.revision

    override fun isActive(): Boolean = core.use { it.isActive() }

    override fun leaseRemaining(now: Long): Long =
        (core.leaseUntil - now).takeIf { core.leaseUntil > now }?.coerceAtMost(timing.leaseMs) ?: 0

    override fun ownership(
        resource: Resource,
        now: Long,
    ): Ownership = core.use { it.ownership(resource) }

    override fun foreignPins(resource: Resource): Map<String, Int> = core.use { it.foreignPins(resource) }

    override fun platformReachable(): Boolean = membershipStore.isReachable

    override suspend fun leave(timeoutMs: Long): Boolean {
        core.use { it.leave() }
        return waitFor(
            timeoutMs,
        ) { it.isLeaving() && it.heldResources().isEmpty() && it.stillPinned().isEmpty() && it.releases().isEmpty() }
    }

    override suspend fun awaitLeavingAcknowledged(timeoutMs: Long): Boolean = waitFor(timeoutMs) { it.isLeavingKnown() }

    override suspend fun endMembership(timeoutMs: Long): Boolean {
        coordinator.changeOwnership { _, _ -> core.use { it.depart() } }
        return waitFor(timeoutMs) { !it.isListed() }
    }

    private suspend fun waitFor(
        timeoutMs: Long,
        condition: (ClusterCore) -> Boolean,
    ): Boolean = withTimeoutOrNull(timeoutMs) {
        while (!core.use(condition)) delay(timing.heartbeatMs / STEPS_PER_HEARTBEAT)
        true
    } ?: false

    override fun dump(): ClusterDump {
        val now = env.now()
        return core.use { c ->
            ClusterDump(
                self = c.me,
                roster = c.roster,
                active = c.isActive(),
                leaseRemainingMs = leaseRemaining(now),
                unconfirmedMs = c.unconfirmedMs(now),
                platformReachable = membershipStore.isReachable,
                owned = c.heldResources().mapKeys { it.key.key },
                stillPinned = c.stillPinned().map { it.key },
                removals = c.removalDumps(),
                links = network.dump(),
            )
        }
    }

    override fun close() = scope.cancel()
}
