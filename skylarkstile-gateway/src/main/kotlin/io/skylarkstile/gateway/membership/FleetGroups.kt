/*
 * The parts of a large fleet. What instances tell each other would grow with the square of their number, so each group has an aggregator
 * that sums up what its members say. All instances that know the same set compute the same groups; nothing is elected.
 */
package io.skylarkstile.gateway.membership

import io.skylarkstile.core.cluster.stableHash

/** Up to this many instances tell each other everything directly, which is faster and costs little. */
private const val DIRECT_FLEET = 12

/** Members of a group at most, on average: its aggregator sends each of them the whole fleet's sums. */
private const val GROUP_SIZE = 24

/** Groups whose aggregators read the store for the whole fleet: one may be cut off from it while another one falls silent. */
private const val READING_GROUPS = 2

/** Groups of the instances in [set], as the instance [self] sees them. */
class FleetGroups(
    set: InstanceSet,
    self: String,
) {
    /** True while the fleet is too small to need groups. */
    val isDirect: Boolean = set.members.size <= DIRECT_FLEET

    /** Members of each group, those that should aggregate first in front. Machines with fast links go first, since aggregators send most. */
    val members: Map<String, List<InstanceRecord>> = if (isDirect) emptyMap() else grouped(set)
    private val groups: Map<String, String> = members.flatMap { (group, members) -> members.map { it.name to group } }.toMap()

    /** Returns the group of the instance [name], or null when the fleet has none or doesn't know it. */
    fun groupOrNull(name: String): String? = groups[name]

    /** The own group; empty while the own record isn't in the set. */
    val own: List<InstanceRecord> = groups[self]?.let(members::get).orEmpty()

    /** Position of this instance among those that should aggregate, or null while it isn't in the set. */
    val ownRank: Int? = own.indexOfFirst { it.name == self }.takeIf { it >= 0 }

    /** True when the aggregator of the own group reads the store for the others. */
    val isReading: Boolean = groups[self] in readingGroups()

    /** Such groups are in different data centres where possible: the first group of each comes before the second ones. */
    private fun readingGroups(): List<String> {
        val order = compareBy<String>({ it.substringAfterLast('/').toInt() }, { stableHash("reader|$it") }, { it })
        return members.keys.sortedWith(order).take(READING_GROUPS)
    }

    private fun grouped(set: InstanceSet): Map<String, List<InstanceRecord>> = set.members.values
        .groupBy { it.dataCentre }
        .flatMap { (dataCentre, members) -> split(dataCentre, members) }
        .toMap()

    /**
     * Splits the members of a data centre by hash, so that one instance more or less moves few others until the number of groups changes.
     * Those that are fit to aggregate are spread evenly: a group without one of the fast machines would depend on a slow link.
     */
    private fun split(
        dataCentre: String,
        members: List<InstanceRecord>,
    ): List<Pair<String, List<InstanceRecord>>> {
        val groups = List((members.size + GROUP_SIZE - 1) / GROUP_SIZE) { ArrayList<InstanceRecord>() }
        val fittest = members.sortedWith(compareBy({ -it.linkMbps }, { stableHash("aggregator|${it.name}") }, { it.name }))
        fittest.forEachIndexed { index, member ->
            val home = groups[Math.floorMod(stableHash(member.name), groups.size.toLong()).toInt()]
            val least = groups.minBy { it.size }
            val isSpread = index < groups.size * AGGREGATOR_CANDIDATES && home.size > least.size
            (if (isSpread) least else home).add(member)
        }
        return groups.mapIndexed { index, group -> "$dataCentre/$index" to group }
    }
}
