/*
 * Sums up what the members of a group say and what the aggregators of the other groups say of theirs, so that what one instance sends and
 * receives doesn't grow with the number of instances.
 */
package io.skylarkstile.gateway.peer

import io.skylarkstile.gateway.membership.AGGREGATOR_CANDIDATES
import io.skylarkstile.gateway.membership.AGGREGATOR_SILENT_MS
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

/** Sums of a group that wasn't heard for this long are left out, in milliseconds: its calls have ended or are known anew by then. */
private const val GROUP_KEPT_MS = 5_000L

/** Each report repeats the adapters of one in so many targets, beside those that have changed. */
private const val REPEAT_PARTS = 6

/** Own reports whose times are remembered until others have heard them. */
private const val REMEMBERED_REPORTS = 32

/** Makes reports for the instance [name], whose process started at [startedAt]. Not thread-safe. */
internal class Aggregator(
    private val name: String,
    private val startedAt: Long,
) {
    private class Heard(
        val report: GroupReport,
        val sender: String,
        val at: Long,
    )

    private val reports = HashMap<String, Heard>()
    private val admitted = AdmittedTotals()
    private val lastHeld = HashMap<String, HeldTarget>()
    private val sentAt = LinkedHashMap<Long, Long>()
    private var groups = FleetGroups(InstanceSet.EMPTY, name)
    private var number = 0L

    /** Applies the groups of the fleet. */
    fun apply(groups: FleetGroups) {
        this.groups = groups
        reports.keys.retainAll(groups.members.keys)
        admitted.retain(groups.own.mapTo(HashSet()) { it.name })
        lastHeld.clear()
    }

    /** Counts what a member of the group has admitted, as [state] says. */
    fun count(
        member: String,
        state: GatewayState,
    ) = admitted.hear(member, state.startedAt, demandsIn(state.demands))

    /** Takes the report of another group's aggregator; one that was overtaken is dropped. */
    fun hear(
        report: GroupReport,
        sender: String,
        now: Long,
    ) {
        val known = reports[report.group]
        val isOvertaken = known != null && known.report.startedAt == report.startedAt && known.report.number >= report.number
        if (report.group in groups.members && !isOvertaken) reports[report.group] = Heard(report, sender, now)
    }

    /** Returns when the own report was sent that the sender of [report] had heard last, or null when it hasn't heard any. */
    fun heardOwnAtOrNull(report: GroupReport): Long? =
        report.heard.firstOrNull { it.instance == name && it.startedAt == startedAt }?.let { sentAt[it.number] }

    /** Returns when [group] was last heard, or null. */
    fun heardAtOrNull(group: String): Long? = reports[group]?.at

    /**
     * Returns the instances of the other groups that should hear of the own one: those that aggregate or would be next, and further ones the
     * longer nothing is heard of their group.
     */
    fun readers(now: Long): List<InstanceRecord> =
        groups.members.filterKeys { it != groups.groupOrNull(name) }.flatMap { (group, members) ->
            val heard = reports[group]
            val steps = heard?.let { (now - it.at) / AGGREGATOR_SILENT_MS }?.toInt() ?: 1
            members.filterIndexed { rank, member -> rank < AGGREGATOR_CANDIDATES + steps || member.name == heard?.sender }
        }

    /**
     * Returns the report on the own [group], whose members last said [states]; [statuses] tell how they are doing, [views] what is told of
     * the store, and [set] is the hash of the known set of instances.
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
        if (sentAt.size > REMEMBERED_REPORTS) sentAt.remove(sentAt.keys.first())
        val asked = sumOfDemands(states.map { demandsIn(it.demands) })
        return GroupReport(
            group = group,
            startedAt = startedAt,
            number = ++number,
            members = statuses,
            load = loadsOf(weightsOf(states)),
            uses = usesOf(states),
            demands = listOf(asked.mapValues { (workspace, demand) -> demand.copy(admitted = admitted.total(workspace)) }),
            held = states.flatMap { it.held },
            heard = reports.values.map { SetVouch(it.sender, it.report.startedAt, it.report.number) },
            views = views,
            set = set,
        )
    }

    /** Returns the report on the whole fleet, with [own] for the own group, whose members' last messages were [states]. */
    fun fleetReport(
        own: GroupReport,
        states: Map<String, GatewayState>,
        set: InstanceSet,
        views: List<StoreView>,
        now: Long,
    ): FleetReport {
        val others = reports.values.filter { now - it.at <= GROUP_KEPT_MS && it.report.group != own.group }
        val all = others.map { it.report } + own
        val absent =
            own.members.filter(::isAbsent) +
                others.flatMap { heard -> heard.report.members.map { aged(it, now - heard.at) } }.filter(::isAbsent)
        val told = all.flatMapTo(HashSet()) { report -> report.members.map { it.name } }
        val unheard =
            set.members.keys
                .filter { it !in told }
                .map { MemberStatus(it, UNHEARD, isReady = false, isLeaving = false) }
        val held = heldIn(all, set)
        return FleetReport(
            startedAt = startedAt,
            number = own.number,
            isFleetKnown = absent.none { it.silentMs > PRESENT_MS || it.silentMs < 0 } && unheard.isEmpty(),
            heard = states.map { (member, state) -> SetVouch(member, state.startedAt, state.number) },
            absent = absent + unheard,
            load = loadsOf(sumOf(all.map { weightsIn(it.load) })),
            uses = all.flatMap { it.uses }.filter { groups.groupOrNull(set.holderOrNull(it.target).orEmpty()) == own.group },
            demands = listOf(sumOfDemands(all.map { demandsIn(it.demands) })),
            held = newsOf(held, own.number),
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

    /** While a target goes from one holder to another, two may tell of it; the one that the set of instances names is believed. */
    private fun heldIn(
        reports: List<GroupReport>,
        set: InstanceSet,
    ): List<HeldTarget> = reports
        .flatMap { it.held }
        .groupBy { it.target }
        .map { (target, told) -> told.firstOrNull { it.holder?.substringBeforeLast('/') == set.holderOrNull(target) } ?: told.last() }

    private fun newsOf(
        held: List<HeldTarget>,
        number: Long,
    ): List<HeldTarget> = held.filter { target ->
        val before = lastHeld.put(target.target, target)
        val isChanged = before == null || !isAlike(before, target)
        isChanged || Math.floorMod(target.target.hashCode() + number, REPEAT_PARTS.toLong()) == 0L
    }

    private fun isAlike(
        before: HeldTarget,
        after: HeldTarget,
    ) = before.holder == after.holder &&
        before.present == after.present &&
        before.loading.map { it.adapter } == after.loading.map { it.adapter }

    companion object {
        /** Stands for the silence of an instance that wasn't heard yet. */
        const val UNHEARD = -1L
    }
}

/** Returns the weights of [total] without [part], by target. */
internal fun without(
    total: Map<String, CallWeight>,
    part: Map<String, CallWeight>,
): Map<String, CallWeight> = total.mapValues { (target, weight) -> part[target]?.let { weight - it } ?: weight }
