/*
 * Which resources this instance holds, gives up or waits for. A resource is acquired at a roster revision only after every other member has
 * stated that it adopted this revision and gave up what it does not own there; whoever is no longer listed has no lease.
 */
package io.skylarkstile.core.cluster

import io.skylarkstile.schema.generated.Heartbeat
import io.skylarkstile.schema.generated.Member
import io.skylarkstile.schema.generated.Pin
import io.skylarkstile.schema.generated.Release
import io.skylarkstile.schema.generated.Roster

/** A [release] to be sent to [to] until it is acknowledged with [sequence]. */
data class ReleaseOrder(
    val to: String,
    val release: Release,
    val sequence: Long,
)

/** Runs the acquire and release states of instance [self]. */
internal class OwnershipTable(
    private val self: String,
) {
    private class Draining(
        val resource: Resource,
        var pins: Map<String, Int>,
    ) {
        var sequence = 0L
        var to: String? = null
        var acknowledged = false
    }

    private class Statement(
        val incarnation: Long,
        var roster: Long,
        var snapshot: Long,
    )

    private val held = HashMap<Resource, Long>()
    private val draining = HashMap<Resource, Draining>()
    private val foreign = HashMap<String, HashMap<String, Map<String, Int>>>()
    private val firstSeen = HashMap<Resource, Long>()
    private val statements = HashMap<String, Statement>()

    /** Revisions that each peer has acknowledged all releases of. */
    private val stated = HashMap<String, Pair<Long, Long>>()
    private var roster: Roster = emptyRoster

    /** Owners at the present roster; ranking all members for each question would be too slow in large clusters. */
    private val owners = HashMap<Resource, String?>()
    private var snapshot = 0L
    private var known = 0L
    private var sequences = 0L

    private fun ownerOrNull(resource: Resource): String? = owners.getOrPut(resource) { roster.ownerOrNull(resource)?.instance }

    /** Takes over a roster and the resources of a snapshot; returns what has to be released now. */
    fun adopt(
        next: Roster,
        resources: List<Resource>,
        nextSnapshot: Long,
    ): List<Resource> {
        val names = next.members.filter { roster.lists(it.instance, it.incarnation) }.mapTo(HashSet()) { it.instance }
        if (roster != next) owners.clear()
        roster = next
        snapshot = nextSnapshot
        firstSeen.keys.retainAll(resources.toSet())
        resources.forEach { firstSeen.putIfAbsent(it, nextSnapshot) }
        // A new incarnation runs none of the requests of the earlier one and knows none of the releases to it.
        foreign.values.forEach { it.keys.retainAll(names) }
        statements.entries.removeIf { (name, s) -> !next.lists(name, s.incarnation) }
        stated.keys.retainAll(names)
        return held.keys.filter { it !in firstSeen || ownerOrNull(it) != self }.onEach { held.remove(it) }
    }

    /**
     * Notes that the adopted resources are those of all snapshots up to [revision]. Instances that list the platform at different moments
     * give the same records different revisions, so one may never reach the revision at which another one has first seen a resource.
     */
    fun knownUpTo(revision: Long) {
        known = maxOf(known, revision)
    }

    /** Notes the handles still in use under a released resource. */
    fun drain(
        resource: Resource,
        pins: Map<String, Int>,
    ) {
        val entry = draining.getOrPut(resource) { Draining(resource, emptyMap()).also { it.sequence = ++sequences } }
        if (entry.pins != pins) {
            entry.pins = pins
            entry.sequence = ++sequences
            entry.acknowledged = false
        }
    }

    /** Returns the resources that were released and still have handles in use. */
    fun stillPinned(): List<Resource> = draining.values.filter { it.pins.isNotEmpty() }.map { it.resource }

    /** Returns the releases that their receivers have not acknowledged. */
    fun releases(): List<ReleaseOrder> {
        retarget()
        return draining.values.filter { !it.acknowledged }.mapNotNull { d ->
            val pins = d.pins.map { Pin(handle = it.key, running = it.value) }
            d.to?.let { ReleaseOrder(it, Release(rosterRevision = roster.revision, resource = d.resource.key, pins = pins), d.sequence) }
        }
    }

    private fun retarget() {
        for (d in draining.values) {
            val owner = ownerOrNull(d.resource)
            if (owner != d.to) {
                d.to = owner
                d.sequence = ++sequences
                d.acknowledged = false
            }
        }
        draining.values.removeIf { it.pins.isEmpty() && (it.to == null || it.to == self) }
    }

    /** Notes that the receiver has the release. */
    fun acknowledged(order: ReleaseOrder) {
        val entry = draining.values.firstOrNull { it.sequence == order.sequence && it.to == order.to } ?: return
        entry.acknowledged = true
        if (entry.pins.isEmpty()) draining.remove(entry.resource)
    }

    /** Returns the roster and snapshot revisions up to which [peer] knows all releases to it. */
    fun statementFor(peer: String): Pair<Long, Long> {
        retarget()
        if (draining.values.none { it.to == peer && !it.acknowledged }) stated[peer] = roster.revision to maxOf(snapshot, known)
        return stated[peer] ?: (0L to 0L)
    }

    /** Notes what [from] has released. */
    fun noteHeartbeat(
        from: String,
        heartbeat: Heartbeat,
    ) {
        if (!roster.lists(from, heartbeat.incarnation)) return
        val s = statements.getOrPut(from) { Statement(heartbeat.incarnation, 0, 0) }
        s.roster = maxOf(s.roster, heartbeat.releasedRevision)
        s.snapshot = maxOf(s.snapshot, heartbeat.releasedSnapshot)
    }

    /** Notes the handles that [from] still uses under a resource it gave up. */
    fun noteRelease(
        from: String,
        release: Release,
    ) {
        val pins = release.pins.associate { it.handle to it.running }
        val byMember = foreign.getOrPut(release.resource) { HashMap() }
        if (pins.isEmpty()) byMember.remove(from) else byMember[from] = pins
    }

    /** Returns the resources that this instance may start to own now, and marks them as held at the present revision. */
    fun acquire(): List<Resource> {
        if (roster.memberOrNull(self)?.state != Member.State.Active) return emptyList()
        val others = roster.members.filter { it.instance != self }.map { statements[it.instance] }
        // A member at a higher revision may have skipped the present one and kept what it did not own there, so equality is needed.
        if (others.any { it == null || it.roster != roster.revision }) return emptyList()
        val snapshots = others.minOfOrNull { it?.snapshot ?: 0 } ?: Long.MAX_VALUE
        val ready =
            firstSeen.filter { (resource, seen) ->
                resource !in held && snapshots >= seen && ownerOrNull(resource) == self
            }
        return ready.keys.toList().onEach {
            draining.remove(it)
            held[it] = roster.revision
        }
    }

    /** Gives up everything, for a new incarnation or a shutdown; returns what was held. */
    fun clear(): List<Resource> {
        val over = held.keys.toList()
        held.clear()
        foreign.clear()
        statements.clear()
        stated.clear()
        return over
    }

    fun ownership(resource: Resource): Ownership {
        val epoch = held[resource]
        if (epoch != null) return Ownership.Held(epoch)
        val owner = ownerOrNull(resource) ?: return Ownership.Nobody
        return if (owner == self) Ownership.Pending else Ownership.Elsewhere(owner)
    }

    fun heldResources(): Map<Resource, Long> = held.toMap()

    /** Returns the handles of [resource] that earlier owners still use, summed over them. */
    fun foreignPins(resource: Resource): Map<String, Int> {
        val sum = HashMap<String, Int>()
        foreign[resource.key]?.values?.forEach { pins -> pins.forEach { (handle, n) -> sum.merge(handle, n, Int::plus) } }
        return sum
    }
}
