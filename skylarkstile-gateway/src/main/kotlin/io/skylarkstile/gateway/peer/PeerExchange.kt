/*
 * Exchanges state with the other instances: running calls, demand, requested adapters, and the adapters of held targets.
 *
 * In a small fleet each instance sends its state to all others. In a large one it sends it to the aggregator of its group, which answers
 * with sums over the whole fleet. The answer names the last own state that it includes, and the instance subtracts that state again.
 */
package io.skylarkstile.gateway.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.core.placement.Popularity
import io.skylarkstile.gateway.adapter.AdapterManager
import io.skylarkstile.gateway.admission.ShareDemand
import io.skylarkstile.gateway.admission.TokenSource
import io.skylarkstile.gateway.admission.WorkspaceShares
import io.skylarkstile.gateway.main.Scheduler
import io.skylarkstile.gateway.membership.AggregatorRole
import io.skylarkstile.gateway.membership.FleetGroups
import io.skylarkstile.gateway.membership.InstanceRecord
import io.skylarkstile.gateway.membership.InstanceSet
import io.skylarkstile.gateway.membership.OrderLease
import io.skylarkstile.gateway.membership.PeerContacts
import io.skylarkstile.gateway.membership.SetConfirmations
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.relay.AdapterDemand
import io.skylarkstile.gateway.relay.CallPermits
import io.skylarkstile.gateway.store.ChangesSource
import io.skylarkstile.gateway.store.StoreKind
import io.skylarkstile.gateway.target.CallWeight
import io.skylarkstile.gateway.target.TargetState
import io.skylarkstile.gateway.target.TargetTable
import io.skylarkstile.schema.generated.AdapterWish
import io.skylarkstile.schema.generated.FleetReport
import io.skylarkstile.schema.generated.GatewayDatagram
import io.skylarkstile.schema.generated.GatewayState
import io.skylarkstile.schema.generated.GroupReport
import io.skylarkstile.schema.generated.MemberStatus
import io.skylarkstile.schema.generated.StoreView
import io.skylarkstile.schema.generated.TargetCalls
import java.net.InetSocketAddress

private val log = KotlinLogging.logger {}

/** Interval in milliseconds at which the state is sent. It grows with the number of instances. */
private const val STATE_INTERVAL_MS = 250L
private const val DIRECT_INTERVAL_MS_PER_INSTANCE = 8L
private const val GROUP_INTERVAL_MS_PER_INSTANCE = 1L

/** Maximum state interval in groups, in milliseconds: a view of the store takes up to four intervals to reach all instances. */
private const val MAX_GROUP_STATE_INTERVAL_MS = 400L

/** Changes within this time are sent in one message, in milliseconds. */
private const val COALESCE_MS = 4L
private const val COALESCE_MS_PER_INSTANCE = 1L

/** Members of another group count as lost only after this long without a report of their group, in milliseconds. */
private const val OTHER_GROUP_LOST_MS = 10_000L

/** An own state that is sent later than its interval by more than this shows that the process was stalled, in milliseconds. */
private const val STALLED_MS = 700L

/** Number of own states that are kept until an aggregator acknowledges them. */
private const val MAX_REMEMBERED_STATES = 64

/** A peer counts as present for this long after its last message, in milliseconds. */
const val PRESENT_MS = 1_200L

/** Gives a [PeerExchange] access to the rest of the instance. */
interface PeerHost {
    val isLeaving: Boolean
    val isReady: Boolean

    /** Checks whether the process was suspended. Called before view ages are sent, because after a suspension they aren't known. */
    fun checkSuspension()

    /** Called when the adapters of [target] have changed. */
    fun adaptersChanged(target: TargetState)

    /** Returns a source that fetches store changes from [peer]. */
    fun changesSourceOf(peer: InstanceRecord): ChangesSource

    /** Lists the set of instances from the store again. */
    fun relistSet()
}

/** Exchanges states with other instances on behalf of [self]. Not thread-safe. */
class PeerExchange(
    private val self: InstanceRecord,
    private val scheduler: Scheduler,
    private val targets: TargetTable,
    private val shares: WorkspaceShares,
    private val popularity: Popularity,
    private val lease: OrderLease,
    private val views: PeerViews,
    private val host: PeerHost,
    private val send: (GatewayDatagram, Collection<InetSocketAddress>) -> Unit,
) : AdapterDemand,
    PeerContacts {
    private class SentState(
        val at: Long,
        val state: GatewayState,
    )

    val peerStates = PeerStates()
    private val confirmations = SetConfirmations(self.name, self.startedAt, lease)
    private val aggregator = Aggregator(self.name, self.startedAt)
    private val role = AggregatorRole()
    private val sentStates = LinkedHashMap<Long, SentState>()
    private val asked = ArrayList<String>()
    private val tokenGrants = TokenGrants(self, scheduler, shares, send)
    private val callPermits = FleetCallPermits(self, scheduler, targets, send)
    private val targetUpdates = TargetUpdates("${self.name}/${self.startedAt}", targets, { adapterManager }, host::adaptersChanged)
    private var instanceSet = InstanceSet.EMPTY
    private var groups = FleetGroups(InstanceSet.EMPTY, self.name)
    private var number = 0L
    private var sentAt = 0L
    private var isSendScheduled = false
    private var aggregatorSince: Long? = null

    /** Time at which the instances were last listed again because another instance has a different set. */
    private var relistedAt = -MIN_LIST_INTERVAL_MS

    /** The last report on the fleet, and its values without this instance's own part. */
    private var fleet: FleetReport? = null
    private var fleetAt = Long.MIN_VALUE
    private var aggregatorProcess = ""
    private var aggregatorProcessSince = 0L
    private var absent = emptyMap<String, MemberStatus>()
    private var uses = emptyMap<String, Set<String>>()
    private var demandElsewhere = emptyMap<String, ShareDemand>()

    /** Orders adapters on the targets that this instance holds; set once at the start. */
    lateinit var adapterManager: AdapterManager
    private val others: List<InstanceRecord> get() = instanceSet.members.values.filter { it.name != self.name }
    private val stateIntervalMs: Long
        get() {
            val size = instanceSet.members.size
            if (groups.isDirect) return maxOf(STATE_INTERVAL_MS, DIRECT_INTERVAL_MS_PER_INSTANCE * size)
            return minOf(STATE_INTERVAL_MS + GROUP_INTERVAL_MS_PER_INSTANCE * size, MAX_GROUP_STATE_INTERVAL_MS)
        }

    /** True while this instance watches the store itself; in a large fleet only the aggregators of a few groups do. */
    val readsStore: Boolean get() = groups.isDirect || groups.ownRank == null || (isAggregator && groups.isStoreReader)

    /** True while the fleet is small enough for every instance to send its state to all others. */
    val isDirect: Boolean get() = groups.isDirect

    /** True while this instance aggregates its group, so that others rely on its view of the store. */
    val isAggregator: Boolean get() = aggregatorSince != null

    /** Grants tokens of the workspaces' rate limits across the fleet. */
    val tokens: TokenSource get() = tokenGrants

    /** Keeps the calls of the fleet within the limits that targets name. */
    val permits: CallPermits get() = callPermits

    /** Applies a new set of instances. */
    fun apply(set: InstanceSet) {
        val before = groups
        instanceSet = set
        groups = FleetGroups(set, self.name)
        if (before.ownMembers.map { it.name } != groups.ownMembers.map { it.name }) role.reset(scheduler.now())
        aggregator.apply(groups)
        tokenGrants.apply(groups)
        callPermits.apply(set)
        peerStates.retain(if (groups.isDirect) set.members.keys else groups.ownMembers.mapTo(HashSet()) { it.name })
        if (groups.isDirect) {
            fleet = null
            aggregatorSince = null
            recomputePeerWeights()
        }
    }

    /** Schedules sending a changed state to the others; [target] is the target whose adapters have changed, if any. */
    fun changed(target: TargetState? = null) {
        if (!groups.isDirect && target != null) targetUpdates.changed(target)
        if (isSendScheduled) return
        isSendScheduled = true
        scheduler.after(COALESCE_MS + if (groups.isDirect) COALESCE_MS_PER_INSTANCE * instanceSet.members.size else 0) {
            isSendScheduled = false
            if (groups.isDirect || target == null) sendState()
            notifyWaitingInstances()
        }
    }

    /** Notifies instances whose calls wait for adapters on changed targets; all others learn of the changes from the next reports. */
    private fun notifyWaitingInstances() = targetUpdates.takeNotices(scheduler.now()).forEach { (held, waiting) ->
        val receivers = waiting.mapNotNull { instanceSet.members[it]?.peers }
        if (receivers.isNotEmpty()) send(GatewayDatagram(sender = self.name, notice = held), receivers)
    }

    /** Sends the state again when its interval has passed. Called regularly. */
    fun tick() {
        if (scheduler.now() - sentAt >= stateIntervalMs) sendState()
    }

    /** Handles a received datagram. */
    fun receive(datagram: GatewayDatagram) {
        val now = scheduler.now()
        datagram.wish?.let { handleWish(it, datagram.sender, now) }
        if (datagram.sender == self.name || datagram.sender !in instanceSet.members) return
        datagram.state?.let { handleState(it, datagram.sender, now) }
        datagram.notice?.let { targetUpdates.apply(it, now) }
        datagram.groupReport?.let { handleGroupReport(it, datagram.sender, now) }
        datagram.fleetReport?.let { handleFleetReport(it, datagram.sender, now) }
        datagram.tokenAsk?.let { ask -> instanceSet.members[datagram.sender]?.let { tokenGrants.receive(ask, it, now) } }
        datagram.tokenGrant?.let { tokenGrants.receive(it, now) }
        datagram.permitAsk?.let { ask -> instanceSet.members[datagram.sender]?.let { callPermits.receive(ask, it, now) } }
        datagram.permitGrant?.let { callPermits.receive(it, now) }
        datagram.targetLimit?.let { callPermits.receive(it, datagram.sender, now) }
    }

    private fun handleWish(
        wish: AdapterWish,
        sender: String,
        now: Long,
    ) {
        val adapter = AdapterVersion.parseOrNull(wish.adapter) ?: return
        if (!adapterManager.requestAdapter(wish.target, adapter) || groups.isDirect) return
        if (wish.isNewCall == true) popularity.record(wish.adapter, now)
        targetUpdates.recordWaiting(wish.target, sender, now)
    }

    private fun handleState(
        state: GatewayState,
        sender: String,
        now: Long,
    ) {
        if (!groups.isDirect && groups.ownMembers.none { it.name == sender }) return
        if (!peerStates.receive(sender, state, now)) return
        if (!groups.isDirect) return aggregator.countAdmitted(sender, state)
        // A restarted process counts from zero, so the key includes the start time; with the name alone the totals would jump.
        shares.applyPeerDemands(now, "$sender/${state.startedAt}", demandsIn(state.demands))
        confirmations.receive(state)
        state.asked.forEach { popularity.record(it, now) }
        state.held.forEach { targetUpdates.apply(it, now) }
        recomputePeerWeights()
    }

    private fun handleGroupReport(
        report: GroupReport,
        sender: String,
        now: Long,
    ) {
        aggregator.receive(report, sender, now)
        if (!isAggregator || report.views.isEmpty()) return
        val requestedAt = aggregator.acknowledgedAtOrNull(report) ?: return
        instanceSet.members[sender]?.let { views.receive(report.views, requestedAt, host.changesSourceOf(it)) }
        compareSet(report.views, report.set, sender)
    }

    /**
     * Lists the instances again if [sender] has another set of them at the same revision: both would take themselves for the holder of some
     * targets and give orders there.
     */
    private fun compareSet(
        reportedViews: List<StoreView>,
        set: Long,
        sender: String,
    ) {
        val revision = views.revisionOrNull(StoreKind.Instances) ?: return
        if (reportedViews.none { it.kind == StoreKind.Instances.name && it.seen == revision } || set == lease.setHash) return
        val now = scheduler.now()
        if (now - relistedAt < MIN_LIST_INTERVAL_MS) return
        relistedAt = now
        log.event(Level.WARN, "sets-differ", "revision" to revision, "peer" to sender, "instances" to instanceSet.members.size) {
            "another instance has a different set of instances at the same revision, listing them again"
        }
        host.relistSet()
    }

    private fun handleFleetReport(
        report: FleetReport,
        sender: String,
        now: Long,
    ) {
        val rank = groups.ownMembers.indexOfFirst { it.name == sender }.takeIf { it >= 0 } ?: return
        role.receive(rank, views.isCurrent(report.views), now)
        if (isAggregator) return
        apply(report, sender, now)
        val acknowledged = acknowledgedIn(report) ?: return
        views.receive(report.views, acknowledged.at, host.changesSourceOf(groups.ownMembers[rank]))
        compareSet(report.views, report.set, sender)
    }

    private fun acknowledgedIn(report: FleetReport): SentState? =
        report.heard.firstOrNull { it.instance == self.name && it.startedAt == self.startedAt }?.let { sentStates[it.number] }

    /** Applies the fleet [report] of the aggregator [sender], without this instance's own part. */
    private fun apply(
        report: FleetReport,
        sender: String,
        now: Long,
    ) {
        fleet = report
        fleetAt = now
        val processId = "$sender/${report.startedAt}"
        if (processId != aggregatorProcess) aggregatorProcessSince = now
        aggregatorProcess = processId
        absent = report.absent.associateBy { it.name }
        uses = report.uses.associate { it.target to it.adapters.toSet() }
        val acknowledged = acknowledgedIn(report)?.state
        val weights = subtract(weightsIn(report.load), acknowledged?.let { weightsOf(listOf(it)) }.orEmpty())
        targets.all.forEach { it.otherInstancesWeight = weights[it.id] ?: CallWeight.NONE }
        val ownDemand = acknowledged?.let { demandsIn(it.demands) }
        if (ownDemand != null) {
            demandElsewhere = demandsIn(report.demands).mapValues { (name, demand) -> ownDemand[name]?.let { demand - it } ?: demand }
            shares.applyPeerDemands(now, processId, demandElsewhere)
        }
        report.held.forEach { targetUpdates.apply(it, now) }
        targetUpdates.markOrderable(report.orderable, now)
    }

    override fun requestAdapter(
        target: TargetState,
        adapter: AdapterVersion,
    ) {
        if (adapterManager.requestAdapter(target.id, adapter)) return
        val record = instanceSet.orderHolderOrNull(target.id)?.let(instanceSet.members::get) ?: return
        val isNewCall = !groups.isDirect && asked.remove("$adapter")
        send(GatewayDatagram(sender = self.name, wish = AdapterWish(target.id, "$adapter", isNewCall)), listOf(record.peers))
    }

    override fun recordCall(adapter: AdapterVersion) {
        popularity.record("$adapter", scheduler.now())
        asked.add("$adapter")
    }

    /** Returns whether another instance has calls that use [adapter] on [target]. */
    fun isInUseElsewhere(
        target: TargetState,
        adapter: AdapterVersion,
    ): Boolean {
        val text = "$adapter"
        if (!groups.isDirect) return uses[target.id]?.contains(text) ?: false
        return peerStates.states().any { state -> state.calls.any { it.target == target.id && text in it.adapters } }
    }

    /** Returns the caller addresses of the other instances that are present, ready and not leaving. */
    fun readyAddresses(now: Long): List<InetSocketAddress> =
        if (groups.isDirect) addresses(now) { it.isReady && !it.isLeaving } else othersExcept { it != null }

    /** Returns the caller addresses of the other instances that are present and not leaving. */
    fun presentAddresses(now: Long): List<InetSocketAddress> =
        if (groups.isDirect) addresses(now) { !it.isLeaving } else othersExcept { it != null && (it.isLeaving || it.silentMs > PRESENT_MS) }

    private fun othersExcept(isExcluded: (MemberStatus?) -> Boolean): List<InetSocketAddress> =
        others.filter { !isExcluded(absent[it.name]) }.map { it.callers }

    private fun addresses(
        now: Long,
        wanted: (GatewayState) -> Boolean,
    ): List<InetSocketAddress> = peerStates
        .recent(now, PRESENT_MS)
        .filterValues(wanted)
        .keys
        .mapNotNull { instanceSet.members[it]?.callers }

    /** Returns the tokens per second last requested from the other instances, by workspace. */
    fun demandElsewhere(): Map<String, Double> {
        val demands = if (groups.isDirect) sumOfDemands(peerStates.states().map { demandsIn(it.demands) }) else demandElsewhere
        return demands.mapValues { it.value.tokensPerSecond }
    }

    /**
     * Returns whether the admissions of all other instances are known: all sent messages within [PRESENT_MS], and in a large fleet the
     * aggregator didn't change within that time, since admissions during a change are not known.
     */
    fun isFleetKnown(now: Long): Boolean {
        if (groups.isDirect) return peerStates.recent(now, PRESENT_MS).size == others.size
        return now - fleetAt <= PRESENT_MS && now - aggregatorProcessSince > PRESENT_MS && fleet?.isFleetKnown == true
    }

    /** Returns the number of instances that share the bounds, including this one. */
    fun instances(): Int = maxOf(1, instanceSet.members.size)

    override fun lastHeardAtOrNull(name: String): Long? {
        val heardAt = peerStates.lastHeardAtOrNull(name)
        val since = aggregatorSince
        if (groups.isDirect || since == null) return heardAt
        val group = groups.groupOrNull(name)
        if (group == groups.groupOrNull(self.name)) return maxOf(heardAt ?: since, since)
        return maxOf(group?.let(aggregator::lastHeardAtOrNull) ?: since, since) + OTHER_GROUP_LOST_MS
    }

    override fun removalRankOrNull(
        name: String,
        present: Collection<String>,
    ): Int? {
        if (groups.isDirect) return (present + self.name).sorted().indexOf(self.name)
        if (!isAggregator) return null
        val ownGroup = groups.groupOrNull(self.name)
        return if (groups.groupOrNull(name) == ownGroup) {
            0
        } else {
            groups.members.keys
                .sorted()
                .indexOf(ownGroup)
        }
    }

    private fun recomputePeerWeights() {
        val weights = weightsOf(peerStates.states())
        targets.all.forEach { it.otherInstancesWeight = weights[it.id] ?: CallWeight.NONE }
    }

    private fun sendState() {
        host.checkSuspension()
        val now = scheduler.now()
        // A stalled aggregator received nothing from its members meanwhile, so it measures their silence from now on.
        if (now - sentAt > stateIntervalMs + STALLED_MS) aggregatorSince = null
        sentAt = now
        val state = ownState(now)
        asked.clear()
        if (groups.isDirect) return send(GatewayDatagram(sender = self.name, state = state), others.map { it.peers })
        sentStates[state.number] = SentState(now, state)
        if (sentStates.size > MAX_REMEMBERED_STATES) sentStates.remove(sentStates.keys.first())
        val isAggregating = groups.ownRank?.let { role.isAggregator(it, views.isCurrent(now), now) } ?: false
        // The own state is sent first: a full link drops the last datagrams, and an instance without messages is considered lost.
        val receivers =
            groups.ownMembers.filterIndexed { rank, member ->
                member.name != self.name &&
                    role.shouldReportTo(rank, isAggregating, now)
            }
        send(GatewayDatagram(sender = self.name, state = state), receivers.map { it.peers })
        if (isAggregating) aggregate(state, now) else stopAggregating()
    }

    private fun ownState(now: Long): GatewayState {
        confirmations.recordSent(number + 1, now)
        return GatewayState(
            startedAt = self.startedAt,
            number = ++number,
            isLeaving = host.isLeaving,
            isReady = host.isReady,
            calls = targets.all.filter { it.ownWeight.calls > 0 }.map(::callsOn),
            demands = workspaceDemandsOf(shares.demands(now)),
            asked = if (groups.isDirect) asked.toList() else emptyList(),
            held = targetUpdates.held(now, isOrdered = !groups.isDirect),
            needsVouch = confirmations.isNeeded(now),
            set = lease.setHash,
            setAgeMs = lease.confirmationAgeOrNull(now) ?: -1,
            vouches = if (groups.isDirect) confirmations.confirmationsFor(peerStates.recent(now, PRESENT_MS)) else emptyList(),
        )
    }

    private fun aggregate(
        state: GatewayState,
        now: Long,
    ) {
        val group = groups.groupOrNull(self.name) ?: return
        if (aggregatorSince == null) startAggregating(group, now)
        aggregator.countAdmitted(self.name, state)
        val states = peerStates.recent(now, MEMBER_STATE_TTL_MS) + (self.name to state)
        val storeViews = views.storeViews(now)
        val report =
            aggregator.groupReport(
                group,
                states.values,
                statuses(now),
                if (readsStore) storeViews else emptyList(),
                lease.setHash,
                now,
            )
        send(GatewayDatagram(sender = self.name, groupReport = report), aggregator.reportReceivers(now).map { it.peers })
        val fleetReport = aggregator.fleetReport(report, states, instanceSet, storeViews, now)
        send(
            GatewayDatagram(sender = self.name, fleetReport = fleetReport),
            groups.ownMembers.filter { it.name != self.name }.map { it.peers },
        )
        apply(fleetReport, self.name, now)
    }

    private fun startAggregating(
        group: String,
        now: Long,
    ) {
        aggregatorSince = now
        log.event(Level.INFO, "aggregating", "group" to group, "rank" to groups.ownRank, "members" to groups.ownMembers.size) {
            "this instance aggregates group $group"
        }
    }

    private fun stopAggregating() {
        if (aggregatorSince != null) log.event(Level.INFO, "aggregating-ended") { "another instance aggregates the group now" }
        aggregatorSince = null
    }

    private fun statuses(now: Long): List<MemberStatus> {
        val states = peerStates.recent(now, Long.MAX_VALUE)
        return groups.ownMembers.map { member ->
            val state = states[member.name]
            when {
                member.name == self.name -> MemberStatus(self.name, 0, host.isReady, host.isLeaving)
                state == null -> MemberStatus(member.name, Aggregator.NEVER_HEARD, isReady = false, isLeaving = false)
                else -> MemberStatus(member.name, now - (peerStates.lastHeardAtOrNull(member.name) ?: now), state.isReady, state.isLeaving)
            }
        }
    }

    private fun callsOn(target: TargetState): TargetCalls {
        val weight = target.ownWeight
        return TargetCalls(target.id, weight.calls, weight.tokens, weight.unreadTokens, target.adapterCalls.keys.map { "$it" })
    }

    private companion object {
        /** Minimum time between such lists, in milliseconds: sets differ for good when only some instances can read a record. */
        const val MIN_LIST_INTERVAL_MS = 2_000L

        /** The last state of a member is included in reports for this long, in milliseconds. */
        const val MEMBER_STATE_TTL_MS = 3_500L
    }
}
