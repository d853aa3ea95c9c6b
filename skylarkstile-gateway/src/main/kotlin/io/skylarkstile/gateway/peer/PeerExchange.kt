/*
 * What this instance tells the others and hears from them: running calls, demand, adapters asked for, and the adapters of held targets.
 *
 * In a small fleet each instance tells all others. In a large one it tells the aggregator of its group, which answers with the sums of the
 * whole fleet; the own part is taken away from them again by the message that they contain.
 */
package io.skylarkstile.gateway.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.core.placement.Popularity
import io.skylarkstile.gateway.adapter.AdapterHolder
import io.skylarkstile.gateway.admission.ShareDemand
import io.skylarkstile.gateway.admission.TokenSource
import io.skylarkstile.gateway.admission.WorkspaceShares
import io.skylarkstile.gateway.main.Scheduler
import io.skylarkstile.gateway.membership.AggregatorRole
import io.skylarkstile.gateway.membership.FleetGroups
import io.skylarkstile.gateway.membership.InstanceRecord
import io.skylarkstile.gateway.membership.InstanceSet
import io.skylarkstile.gateway.membership.OrderLease
import io.skylarkstile.gateway.membership.PeerPresence
import io.skylarkstile.gateway.membership.SetVouches
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.relay.AdapterDemand
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

/** States are repeated at least this often, in milliseconds, and less often in a large fleet. */
private const val STATE_MS = 250L
private const val DIRECT_STATE_MS_PER_INSTANCE = 8L
private const val GROUP_STATE_MS_PER_INSTANCE = 1L

/** In groups they are repeated at least this often, in milliseconds: views of the store pass through four of these times. */
private const val MOST_GROUP_STATE_MS = 400L

/** Changes within this time are told together, in milliseconds. */
private const val GATHER_MS = 4L
private const val GATHER_MS_PER_INSTANCE = 1L

/** A group that wasn't heard for this long has lost all of its members, in milliseconds. */
private const val GROUP_LOST_MS = 10_000L

/** An instance whose own message is overdue by this much was held up, in milliseconds. */
private const val HELD_UP_MS = 700L

/** Own messages that are remembered until an aggregator has heard them. */
private const val REMEMBERED_STATES = 64

/** A peer heard within this time is present, in milliseconds. */
const val PRESENT_MS = 1_200L

/** What a [PeerExchange] needs from the instance around it. */
interface PeerHost {
    val isLeaving: Boolean
    val isReady: Boolean

    /** Notices a suspension before the age of a view is told, which isn't known after one. */
    fun noticeSuspension()

    /** The adapters of [target] have changed. */
    fun adaptersChanged(target: TargetState)

    /** Returns the source of the changes of the store that [peer] knows. */
    fun changesOf(peer: InstanceRecord): ChangesSource

    /** Reads the set of instances anew. */
    fun listInstances()
}

/** Exchanges states as the instance [self]. Not thread-safe. */
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
    PeerPresence {
    private class Told(
        val at: Long,
        val state: GatewayState,
    )

    val board = PeerBoard()
    private val vouches = SetVouches(self.name, self.startedAt, lease)
    private val aggregator = Aggregator(self.name, self.startedAt)
    private val role = AggregatorRole()
    private val told = LinkedHashMap<Long, Told>()
    private val asked = ArrayList<String>()
    private val grants = TokenGrants(self, scheduler, shares, send)
    private val news = TargetNews("${self.name}/${self.startedAt}", targets, { holder }, host::adaptersChanged)
    private var members = InstanceSet.EMPTY
    private var groups = FleetGroups(InstanceSet.EMPTY, self.name)
    private var number = 0L
    private var sentAt = 0L
    private var isGathering = false
    private var aggregatesSince: Long? = null

    /** Time at which the instances were listed anew because others know a different set. */
    private var listedAt = -LIST_PAUSE_MS

    /** The last report on the fleet and what it says without this instance. */
    private var fleet: FleetReport? = null
    private var fleetAt = Long.MIN_VALUE
    private var source = ""
    private var sourceSince = 0L
    private var absent = emptyMap<String, MemberStatus>()
    private var uses = emptyMap<String, Set<String>>()
    private var demandElsewhere = emptyMap<String, ShareDemand>()

    /** Orders of this instance; set once at the start. */
    lateinit var holder: AdapterHolder
    private val others: List<InstanceRecord> get() = members.members.values.filter { it.name != self.name }
    private val stateMs: Long
        get() {
            val size = members.members.size
            if (groups.isDirect) return maxOf(STATE_MS, DIRECT_STATE_MS_PER_INSTANCE * size)
            return minOf(STATE_MS + GROUP_STATE_MS_PER_INSTANCE * size, MOST_GROUP_STATE_MS)
        }

    /** True while this instance follows the store itself: in a large fleet the aggregators of a few groups do. */
    val readsStore: Boolean get() = groups.isDirect || groups.ownRank == null || (isAggregator && groups.isReading)

    /** True while the fleet is so small that all instances tell each other everything. */
    val isDirect: Boolean get() = groups.isDirect

    /** True while others rely on this instance's view of the store. */
    val isAggregator: Boolean get() = aggregatesSince != null

    /** Grants tokens of workspaces' rates for the whole fleet. */
    val tokens: TokenSource get() = grants

    /** Applies the set of instances. */
    fun apply(set: InstanceSet) {
        val before = groups
        members = set
        groups = FleetGroups(set, self.name)
        if (before.own.map { it.name } != groups.own.map { it.name }) role.restart(scheduler.now())
        aggregator.apply(groups)
        grants.apply(groups)
        board.retain(if (groups.isDirect) set.members.keys else groups.own.mapTo(HashSet()) { it.name })
        if (groups.isDirect) {
            fleet = null
            aggregatesSince = null
            recount()
        }
    }

    /** Tells the others what has changed, soon; [target] is the one whose adapters have. */
    fun changed(target: TargetState? = null) {
        if (!groups.isDirect && target != null) news.changed(target)
        if (isGathering) return
        isGathering = true
        scheduler.after(GATHER_MS + if (groups.isDirect) GATHER_MS_PER_INSTANCE * members.members.size else 0) {
            isGathering = false
            if (groups.isDirect || target == null) tell()
            notifyWishers()
        }
    }

    /** Tells those whose calls wait for adapters on the changed targets; all others hear of it with the next reports. */
    private fun notifyWishers() = news.takeNotices(scheduler.now()).forEach { (held, waiting) ->
        val receivers = waiting.mapNotNull { members.members[it]?.peers }
        if (receivers.isNotEmpty()) send(GatewayDatagram(sender = self.name, notice = held), receivers)
    }

    /** Repeats the state when it is due. Called regularly. */
    fun tick() {
        if (scheduler.now() - sentAt >= stateMs) tell()
    }

    /** Takes a datagram. */
    fun receive(datagram: GatewayDatagram) {
        val now = scheduler.now()
        datagram.wish?.let { takeWish(it, datagram.sender, now) }
        if (datagram.sender == self.name || datagram.sender !in members.members) return
        datagram.state?.let { takeState(it, datagram.sender, now) }
        datagram.notice?.let { news.apply(it, now) }
        datagram.groupReport?.let { takeGroupReport(it, datagram.sender, now) }
        datagram.fleetReport?.let { takeReport(it, datagram.sender, now) }
        datagram.tokenAsk?.let { ask -> members.members[datagram.sender]?.let { grants.receive(ask, it, now) } }
        datagram.tokenGrant?.let { grants.receive(it, now) }
    }

    private fun takeWish(
        wish: AdapterWish,
        sender: String,
        now: Long,
    ) {
        val adapter = AdapterVersion.parseOrNull(wish.adapter) ?: return
        if (!holder.wish(wish.target, adapter) || groups.isDirect) return
        if (wish.isNewCall == true) popularity.record(wish.adapter, now)
        news.wished(wish.target, sender, now)
    }

    private fun takeState(
        state: GatewayState,
        sender: String,
        now: Long,
    ) {
        if (!groups.isDirect && groups.own.none { it.name == sender }) return
        if (!board.hear(sender, state, now)) return
        if (!groups.isDirect) return aggregator.count(sender, state)
        // A new process counts anew, so the name alone would give a jump.
        shares.told(now, "$sender/${state.startedAt}", demandsIn(state.demands))
        vouches.hear(state)
        state.asked.forEach { popularity.record(it, now) }
        state.held.forEach { news.apply(it, now) }
        recount()
    }

    private fun takeGroupReport(
        report: GroupReport,
        sender: String,
        now: Long,
    ) {
        aggregator.hear(report, sender, now)
        if (!isAggregator || report.views.isEmpty()) return
        val askedAt = aggregator.heardOwnAtOrNull(report) ?: return
        members.members[sender]?.let { views.hear(report.views, askedAt, host.changesOf(it)) }
        compareSet(report.views, report.set, sender)
    }

    /** Two instances at the same revision that know different sets would both give orders to some targets. */
    private fun compareSet(
        told: List<StoreView>,
        set: Long,
        sender: String,
    ) {
        val revision = views.revisionOrNull(StoreKind.Instances) ?: return
        if (told.none { it.kind == StoreKind.Instances.name && it.seen == revision } || set == lease.setHash) return
        val now = scheduler.now()
        if (now - listedAt < LIST_PAUSE_MS) return
        listedAt = now
        log.event(Level.WARN, "sets-differ", "revision" to revision, "peer" to sender, "instances" to members.members.size) {
            "another instance knows a different set of instances at the same revision, listing it anew"
        }
        host.listInstances()
    }

    private fun takeReport(
        report: FleetReport,
        sender: String,
        now: Long,
    ) {
        val rank = groups.own.indexOfFirst { it.name == sender }.takeIf { it >= 0 } ?: return
        role.hear(rank, views.isCurrent(report.views), now)
        if (isAggregator) return
        apply(report, sender, now)
        val mine = toldIn(report) ?: return
        views.hear(report.views, mine.at, host.changesOf(groups.own[rank]))
        compareSet(report.views, report.set, sender)
    }

    private fun toldIn(report: FleetReport): Told? =
        report.heard.firstOrNull { it.instance == self.name && it.startedAt == self.startedAt }?.let { told[it.number] }

    /** Applies what [report] of [sender] says of the others. */
    private fun apply(
        report: FleetReport,
        sender: String,
        now: Long,
    ) {
        fleet = report
        fleetAt = now
        val teller = "$sender/${report.startedAt}"
        if (teller != source) sourceSince = now
        source = teller
        absent = report.absent.associateBy { it.name }
        uses = report.uses.associate { it.target to it.adapters.toSet() }
        val mine = toldIn(report)?.state
        val weights = without(weightsIn(report.load), mine?.let { weightsOf(listOf(it)) }.orEmpty())
        targets.all.forEach { it.peerWeight = weights[it.id] ?: CallWeight.NONE }
        val ownDemand = mine?.let { demandsIn(it.demands) }
        if (ownDemand != null) {
            demandElsewhere = demandsIn(report.demands).mapValues { (name, demand) -> ownDemand[name]?.let { demand - it } ?: demand }
            shares.told(now, teller, demandElsewhere)
        }
        report.held.forEach { news.apply(it, now) }
        news.orderable(report.orderable, now)
    }

    override fun wish(
        target: TargetState,
        adapter: AdapterVersion,
    ) {
        if (holder.wish(target.id, adapter)) return
        val record = members.holderOrNull(target.id)?.let(members.members::get) ?: return
        val isNewCall = !groups.isDirect && asked.remove("$adapter")
        send(GatewayDatagram(sender = self.name, wish = AdapterWish(target.id, "$adapter", isNewCall)), listOf(record.peers))
    }

    override fun asked(adapter: AdapterVersion) {
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
        return board.states().any { state -> state.calls.any { it.target == target.id && text in it.adapters } }
    }

    /** Returns where callers reach the present instances that are ready. */
    fun readyAddresses(now: Long): List<InetSocketAddress> =
        if (groups.isDirect) addresses(now) { it.isReady && !it.isLeaving } else othersBut { it != null }

    /** Returns where callers reach the present instances that don't leave. */
    fun presentAddresses(now: Long): List<InetSocketAddress> =
        if (groups.isDirect) addresses(now) { !it.isLeaving } else othersBut { it != null && (it.isLeaving || it.silentMs > PRESENT_MS) }

    private fun othersBut(isLeftOut: (MemberStatus?) -> Boolean): List<InetSocketAddress> =
        others.filter { !isLeftOut(absent[it.name]) }.map { it.callers }

    private fun addresses(
        now: Long,
        wanted: (GatewayState) -> Boolean,
    ): List<InetSocketAddress> = board
        .recent(now, PRESENT_MS)
        .filterValues(wanted)
        .keys
        .mapNotNull { members.members[it]?.callers }

    /** Returns the tokens per second that the other instances were last asked for, by workspace. */
    fun demandElsewhere(): Map<String, Double> {
        val demands = if (groups.isDirect) sumOfDemands(board.states().map { demandsIn(it.demands) }) else demandElsewhere
        return demands.mapValues { it.value.tokensPerSecond }
    }

    /** Returns whether all other instances were heard lately. What they admitted while another instance took over as aggregator isn't. */
    fun isFleetKnown(now: Long): Boolean {
        if (groups.isDirect) return board.recent(now, PRESENT_MS).size == others.size
        return now - fleetAt <= PRESENT_MS && now - sourceSince > PRESENT_MS && fleet?.isFleetKnown == true
    }

    /** Returns the number of instances that share the bounds, this one included. */
    fun instances(): Int = maxOf(1, members.members.size)

    override fun heardAtOrNull(name: String): Long? {
        val heardAt = board.heardAtOrNull(name)
        val since = aggregatesSince
        if (groups.isDirect || since == null) return heardAt
        val group = groups.groupOrNull(name)
        if (group == groups.groupOrNull(self.name)) return maxOf(heardAt ?: since, since)
        return maxOf(group?.let(aggregator::heardAtOrNull) ?: since, since) + GROUP_LOST_MS
    }

    override fun removalTurnOrNull(
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

    private fun recount() {
        val weights = weightsOf(board.states())
        targets.all.forEach { it.peerWeight = weights[it.id] ?: CallWeight.NONE }
    }

    private fun tell() {
        host.noticeSuspension()
        val now = scheduler.now()
        // One that was held up hasn't heard its members for as long, so it counts their silence from now on.
        if (now - sentAt > stateMs + HELD_UP_MS) aggregatesSince = null
        sentAt = now
        val state = ownState(now)
        asked.clear()
        if (groups.isDirect) return send(GatewayDatagram(sender = self.name, state = state), others.map { it.peers })
        told[state.number] = Told(now, state)
        if (told.size > REMEMBERED_STATES) told.remove(told.keys.first())
        val isAggregating = groups.ownRank?.let { role.isAggregator(it, views.isCurrent(now), now) } ?: false
        // The own state goes first: on a full link the last datagrams are lost, and one that nobody hears is taken for lost.
        val receivers = groups.own.filterIndexed { rank, member -> member.name != self.name && role.shouldHear(rank, isAggregating, now) }
        send(GatewayDatagram(sender = self.name, state = state), receivers.map { it.peers })
        if (isAggregating) aggregate(state, now) else stopAggregating()
    }

    private fun ownState(now: Long): GatewayState {
        vouches.sent(number + 1, now)
        return GatewayState(
            startedAt = self.startedAt,
            number = ++number,
            isLeaving = host.isLeaving,
            isReady = host.isReady,
            calls = targets.all.filter { it.ownWeight.calls > 0 }.map(::callsOn),
            demands = listOf(shares.demands(now)),
            asked = if (groups.isDirect) asked.toList() else emptyList(),
            held = news.held(now, isOrdered = !groups.isDirect),
            needsVouch = vouches.isNeeded(now),
            set = lease.setHash,
            setAgeMs = lease.ageOrNull(now) ?: -1,
            vouches = if (groups.isDirect) vouches.given(board.recent(now, PRESENT_MS)) else emptyList(),
        )
    }

    private fun aggregate(
        state: GatewayState,
        now: Long,
    ) {
        val group = groups.groupOrNull(self.name) ?: return
        if (aggregatesSince == null) startAggregating(group, now)
        aggregator.count(self.name, state)
        val states = board.recent(now, GROUP_STATES_MS) + (self.name to state)
        val toldViews = views.told(now)
        val report =
            aggregator.groupReport(
                group,
                states.values,
                statuses(now),
                if (readsStore) toldViews else emptyList(),
                lease.setHash,
                now,
            )
        send(GatewayDatagram(sender = self.name, groupReport = report), aggregator.readers(now).map { it.peers })
        val fleetReport = aggregator.fleetReport(report, states, members, toldViews, now)
        send(GatewayDatagram(sender = self.name, fleetReport = fleetReport), groups.own.filter { it.name != self.name }.map { it.peers })
        apply(fleetReport, self.name, now)
    }

    private fun startAggregating(
        group: String,
        now: Long,
    ) {
        aggregatesSince = now
        log.event(Level.INFO, "aggregating", "group" to group, "rank" to groups.ownRank, "members" to groups.own.size) {
            "this instance aggregates group $group"
        }
    }

    private fun stopAggregating() {
        if (aggregatesSince != null) log.event(Level.INFO, "aggregating-ended") { "another instance aggregates the group" }
        aggregatesSince = null
    }

    private fun statuses(now: Long): List<MemberStatus> {
        val states = board.recent(now, Long.MAX_VALUE)
        return groups.own.map { member ->
            val state = states[member.name]
            when {
                member.name == self.name -> MemberStatus(self.name, 0, host.isReady, host.isLeaving)
                state == null -> MemberStatus(member.name, Aggregator.UNHEARD, isReady = false, isLeaving = false)
                else -> MemberStatus(member.name, now - (board.heardAtOrNull(member.name) ?: now), state.isReady, state.isLeaving)
            }
        }
    }

    private fun callsOn(target: TargetState): TargetCalls {
        val weight = target.ownWeight
        return TargetCalls(target.id, weight.calls, weight.tokens, weight.unreadTokens, target.adapterCalls.keys.map { "$it" })
    }

    private companion object {
        /** The instances are listed anew at most this often, in milliseconds: a record that only some can read would differ for good. */
        const val LIST_PAUSE_MS = 2_000L

        /** The last state of a member counts this long, in milliseconds. */
        const val GROUP_STATES_MS = 3_500L
    }
}
