/*
 * Aggregates the states of the members of a group and the reports of the other groups' aggregators, so that what one instance sends and
 * receives doesn't grow with the number of instances.
 */
package io.skylarkstile.gateway.peer

import io.skylarkstile.gateway.membership.AGGREGATOR_CANDIDATES
import io.skylarkstile.gateway.membership.AGGREGATOR_TIMEOUT_MS
import io.skylarkstile.gateway.membership.FleetGroups
import io.skylarkstile.gateway.membership.InstanceRecord
import io.skylarkstile.gateway.membership.InstanceSet
import io.skylarkstile.gateway.target.CallWeight
import io.skylarkstile.schema.generated.FleetReport
import io.skylarkstile.schema.generated.GatewayState
import io.skylarkstile.schema.generated.GroupReport
import io.skylarkstile.schema.generated.HeldTarget
import io.skylarkstile.schema.generated.MemberStatus
import io.skylarkstile.schema.generated.SetVouch
import io.skylarkstile.schema.generated.StoreView

/**
 * A group's report is ignored after this time without a newer one, in milliseconds: by then its calls have ended or were reported again.
 */
private const val GROUP_REPORT_TTL_MS = 5_000L

/** Each report contains the changed targets and one in this many of the unchanged ones, so that lost updates are repeated. */
private const val UNCHANGED_REPEAT_CYCLE = 6

/** Number of own reports whose send times are kept until other aggregators acknowledge them. */
private const val MAX_REMEMBERED_REPORTS = 32

/** Creates the group and fleet reports of the instance [name], whose process started at [startedAt]. Not thread-safe. */
internal class Aggregator(
    private val name: String,
    private val startedAt: Long,
) {
    private class ReceivedReport(
        val report: GroupReport,
        val sender: String,
        val at: Long,
    )

    private val reports = HashMap<String, ReceivedReport>()
    private val admitted = AdmittedTotals()
    private val lastHeld = HashMap<String, HeldTarget>()
    private val sentAt = LinkedHashMap<Long, Long>()
    private var groups = FleetGroups(InstanceSet.EMPTY, name)
    private var number = 0L

    /** Applies a new division of the fleet into groups. */
    fun apply(groups: FleetGroups) {
        this.groups = groups
        reports.keys.retainAll(groups.members.keys)
        admitted.retain(groups.ownMembers.mapTo(HashSet()) { it.name })
        lastHeld.clear()
    }

    /** Adds what [member] of the own group has admitted according to [state]. */
    fun countAdmitted(
        member: String,
        state: GatewayState,
    ) = admitted.receive(member, state.startedAt, demandsIn(state.demands))

    /** Stores the report of another group's aggregator; a report older than the stored one is dropped. */
    fun receive(
        report: GroupReport,
        sender: String,
        now: Long,
    ) {
        val known = reports[report.group]
        val isOutdated = known != null && known.report.startedAt == report.startedAt && known.report.number >= report.number
        if (report.group in groups.members && !isOutdated) reports[report.group] = ReceivedReport(report, sender, now)
    }

    /** Returns when the latest own report that [report] acknowledges was sent, or null when it acknowledges none. */
    fun acknowledgedAtOrNull(report: GroupReport): Long? =
        report.heard.firstOrNull { it.instance == name && it.startedAt == startedAt }?.let { sentAt[it.number] }

    /** Returns when the last report of [group] was received, or null. */
    fun lastHeardAtOrNull(group: String): Long? = reports[group]?.at

    /**
     * Returns the instances of other groups that the own group's report is sent to: the first aggregator candidates of each group, more of
     * them the longer the group has been silent, and the sender of its last report.
     */
    fun reportReceivers(now: Long): List<InstanceRecord> =
        groups.members.filterKeys { it != groups.groupOrNull(name) }.flatMap { (group, members) ->
            val received = reports[group]
            val extraCandidates = received?.let { (now - it.at) / AGGREGATOR_TIMEOUT_MS }?.toInt() ?: 1
            members.filterIndexed { rank, member -> rank < AGGREGATOR_CANDIDATES + extraCandidates || member.name == received?.sender }
        }

    /**
     * Creates the report on the own [group] from its members' last [states] and their [statuses]. [views] are this instance's views of the
     * store, and [set] is the hash of the known set of instances.
     */
    fun groupReport(
        group: String,
        states: Collection<GatewayState>,
        statuses: List<MemberStatus>,
        views: List<StoreView>,
        set: Long,
        now: Long,
    ): GroupReport {
        sentAt[number + 1] = now
        if (sentAt.size > MAX_REMEMBERED_REPORTS) sentAt.remove(sentAt.keys.first())
        val asked = sumOfDemands(states.map { demandsIn(it.demands) })
        return GroupReport(
            group = group,
            startedAt = startedAt,
            number = ++number,
            members = statuses,
            load = loadsOf(weightsOf(states)),
            uses = usesOf(states),
            demands = workspaceDemandsOf(asked.mapValues { (workspace, demand) -> demand.copy(admitted = admitted.total(workspace)) }),
            held = states.flatMap { it.held },
            heard = reports.values.map { SetVouch(it.sender, it.report.startedAt, it.report.number) },
            views = views,
            set = set,
        )
    }

    /** Creates the report on the whole fleet. [own] is the report on the own group, made from its members' last [states]. */
    fun fleetReport(
        own: GroupReport,
        states: Map<String, GatewayState>,
        set: InstanceSet,
        views: List<StoreView>,
        now: Long,
    ): FleetReport {
        val others = reports.values.filter { now - it.at <= GROUP_REPORT_TTL_MS && it.report.group != own.group }
        val all = others.map { it.report } + own
        val absent =
            own.members.filter(::isAbsent) +
                others.flatMap { received -> received.report.members.map { aged(it, now - received.at) } }.filter(::isAbsent)
        val reportedMembers = all.flatMapTo(HashSet()) { report -> report.members.map { it.name } }
        val neverHeard =
            set.members.keys
                .filter { it !in reportedMembers }
                .map { MemberStatus(it, NEVER_HEARD, isReady = false, isLeaving = false) }
        val held = heldIn(all, set)
        return FleetReport(
            startedAt = startedAt,
            number = own.number,
            isFleetKnown = absent.none { it.silentMs > PRESENT_MS || it.silentMs < 0 } && neverHeard.isEmpty(),
            heard = states.map { (member, state) -> SetVouch(member, state.startedAt, state.number) },
            absent = absent + neverHeard,
            load = loadsOf(sumOf(all.map { weightsIn(it.load) })),
            uses = all.flatMap { it.uses }.filter { groups.groupOrNull(set.orderHolderOrNull(it.target).orEmpty()) == own.group },
            demands = workspaceDemandsOf(sumOfDemands(all.map { demandsIn(it.demands) })),
            held = changedOrDue(held, own.number),
            orderable = held.filter { it.isOrderable }.map { it.target },
            views = views,
            set = own.set,
        )
    }

    private fun isAbsent(status: MemberStatus) = status.silentMs < 0 || status.silentMs > PRESENT_MS || !status.isReady || status.isLeaving

    private fun aged(
        status: MemberStatus,
        ageMs: Long,
    ) = if (status.silentMs < 0) status else status.copy(silentMs = status.silentMs + ageMs)

    /** Selects one entry per target. While a target moves, two holders may report it; the holder according to [set] wins. */
    private fun heldIn(
        reports: List<GroupReport>,
        set: InstanceSet,
    ): List<HeldTarget> = reports
        .flatMap { it.held }
        .groupBy { it.target }
        .map { (target, held) -> held.firstOrNull { it.holder?.substringBeforeLast('/') == set.orderHolderOrNull(target) } ?: held.last() }

    private fun changedOrDue(
        held: List<HeldTarget>,
        number: Long,
    ): List<HeldTarget> = held.filter { target ->
        val before = lastHeld.put(target.target, target)
        val isChanged = before == null || !isSameState(before, target)
        isChanged || Math.floorMod(target.target.hashCode() + number, UNCHANGED_REPEAT_CYCLE.toLong()) == 0L
    }

    private fun isSameState(
        before: HeldTarget,
        after: HeldTarget,
    ) = before.holder == after.holder &&
        before.present == after.present &&
        before.loading.map { it.adapter } == after.loading.map { it.adapter }

    companion object {
        /** Value of [MemberStatus.silentMs] for an instance from which no message has arrived yet. */
        const val NEVER_HEARD = -1L
    }
}

/** Subtracts [part] from [total] by target. */
internal fun subtract(
    total: Map<String, CallWeight>,
    part: Map<String, CallWeight>,
): Map<String, CallWeight> = total.mapValues { (target, weight) -> part[target]?.let { weight - it } ?: weight }
