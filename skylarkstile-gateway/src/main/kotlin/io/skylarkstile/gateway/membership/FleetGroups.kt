/*
 * Divides a large fleet into groups. Direct reports between all instances would grow with the square of their number, so the aggregator of
 * each group sums up the reports of its members. All instances with the same instance set compute the same groups, without an election.
 */
package io.skylarkstile.gateway.membership

import io.skylarkstile.core.cluster.stableHash

/** Maximum number of instances that report directly to each other, which is faster and costs little in a small fleet. */
private const val MAX_DIRECT_INSTANCES = 12

/** Maximum average number of members of a group: its aggregator sends the fleet-wide sums to each of them. */
private const val MAX_AVERAGE_GROUP_SIZE = 24

/** Number of groups whose aggregators read the store for the whole fleet: one may lose the store while another one falls silent. */
private const val READING_GROUP_COUNT = 2

/** Computes the groups of the instances in [set], from the point of view of the instance [self]. */
class FleetGroups(
    set: InstanceSet,
    self: String,
) {
    /** True if the fleet is too small to need groups and all instances report directly to each other. */
    val isDirect: Boolean = set.members.size <= MAX_DIRECT_INSTANCES

    /** Members of each group by order of preference as aggregator. Instances with fast links come first, since aggregators send most. */
    val members: Map<String, List<InstanceRecord>> = if (isDirect) emptyMap() else membersByGroup(set)
    private val groups: Map<String, String> = members.flatMap { (group, members) -> members.map { it.name to group } }.toMap()

    /** Returns the group of the instance [name], or null if the fleet has no groups or the instance isn't in the set. */
    fun groupOrNull(name: String): String? = groups[name]

    /** Members of this instance's group; empty while its record isn't in the set. */
    val ownMembers: List<InstanceRecord> = groups[self]?.let(members::get).orEmpty()

    /** Position of this instance in its group's order of preference, or null while it isn't in the set. */
    val ownRank: Int? = ownMembers.indexOfFirst { it.name == self }.takeIf { it >= 0 }

    /** True if the aggregator of this instance's group reads the store for the whole fleet. */
    val isStoreReader: Boolean = groups[self] in readingGroups()

    /** Prefers groups in different data centres: the first group of each data centre comes before any second one. */
    private fun readingGroups(): List<String> {
        val order = compareBy<String>({ it.substringAfterLast('/').toInt() }, { stableHash("reader|$it") }, { it })
        return members.keys.sortedWith(order).take(READING_GROUP_COUNT)
    }

    private fun membersByGroup(set: InstanceSet): Map<String, List<InstanceRecord>> = set.members.values
        .groupBy { it.dataCentre }
        .flatMap { (dataCentre, members) -> split(dataCentre, members) }
        .toMap()

    /**
     * Splits the members of a data centre by hash, so that an instance that joins or leaves moves few others until the number of groups
     * changes. The best aggregator candidates are spread evenly: a group without a fast instance would depend on a slow link.
     */
    private fun split(
        dataCentre: String,
        members: List<InstanceRecord>,
    ): List<Pair<String, List<InstanceRecord>>> {
        val groups = List((members.size + MAX_AVERAGE_GROUP_SIZE - 1) / MAX_AVERAGE_GROUP_SIZE) { ArrayList<InstanceRecord>() }
        val ranked = members.sortedWith(compareBy({ -it.linkMbps }, { stableHash("aggregator|${it.name}") }, { it.name }))
        ranked.forEachIndexed { index, member ->
            val hashed = groups[Math.floorMod(stableHash(member.name), groups.size.toLong()).toInt()]
            val smallest = groups.minBy { it.size }
            val isSpread = index < groups.size * AGGREGATOR_CANDIDATES && hashed.size > smallest.size
            (if (isSpread) smallest else hashed).add(member)
        }
        return groups.mapIndexed { index, group -> "$dataCentre/$index" to group }
    }
}
