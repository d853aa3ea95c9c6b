/*
 * The resources that this instance holds, releases or waits for. A resource is acquired at a roster revision only after every other member
 * has stated that it adopted this revision and released what it does not own there; an instance that is no longer listed has no lease.
 */
package io.skylarkstile.core.cluster

import io.skylarkstile.schema.generated.Heartbeat
import io.skylarkstile.schema.generated.Member
import io.skylarkstile.schema.generated.Pin
import io.skylarkstile.schema.generated.Release
import io.skylarkstile.schema.generated.Roster

/** Holds a [release] that is sent to instance [to] again until it is acknowledged. [sequence] identifies this state of the release. */
data class ReleaseOrder(
    val to: String,
    val release: Release,
    val sequence: Long,
)

/** Tracks which resources instance [self] may acquire, holds, or has released with requests still running. */
internal class OwnershipTable(
    private val self: String,
) {
    /** A released resource whose handles in use, [pins], are reported to the next owner [to]. */
    private class Draining(
        val resource: Resource,
        var pins: Map<String, Int>,
    ) {
        var sequence = 0L
        var to: String? = null
        var acknowledged = false
    }

    /** The roster and snapshot revisions up to which a peer has stated its releases. */
    private class ReleaseState(
        val incarnation: Long,
        var roster: Long,
        var snapshot: Long,
    )

    /** Held resources with the roster revision at which each was acquired, which is its fencing number. */
    private val held = HashMap<Resource, Long>()
    private val draining = HashMap<Resource, Draining>()

    /** Handles that previous owners still use, by resource key and instance. */
    private val previousOwnerPins = HashMap<String, HashMap<String, Map<String, Int>>>()

    /** Snapshot revision at which each known resource first appeared here. */
    private val firstSeenSnapshot = HashMap<Resource, Long>()
    private val releasedByPeer = HashMap<String, ReleaseState>()

    /** Roster and snapshot revisions up to which each peer has acknowledged all releases to it. */
    private val announced = HashMap<String, Pair<Long, Long>>()
    private var roster: Roster = emptyRoster

    /** Owners at the present roster. They are cached, because ranking all members for each lookup is too slow in large clusters. */
    private val owners = HashMap<Resource, String?>()
    private var snapshot = 0L

    /** Snapshot revision through which the resources are known to be unchanged. */
    private var unchangedTo = 0L
    private var lastSequence = 0L

    private fun ownerOrNull(resource: Resource): String? = owners.getOrPut(resource) { roster.ownerOrNull(resource)?.instance }

    /** Adopts the roster [next] and the [resources] of snapshot revision [nextSnapshot]; returns the resources to release now. */
    fun adopt(
        next: Roster,
        resources: List<Resource>,
        nextSnapshot: Long,
    ): List<Resource> {
        val names = next.members.filter { roster.lists(it.instance, it.incarnation) }.mapTo(HashSet()) { it.instance }
        if (roster != next) owners.clear()
        roster = next
        snapshot = nextSnapshot
        firstSeenSnapshot.keys.retainAll(resources.toSet())
        resources.forEach { firstSeenSnapshot.putIfAbsent(it, nextSnapshot) }
        // A new incarnation runs no requests of the earlier one and does not know the releases that were sent to it.
        previousOwnerPins.values.forEach { it.keys.retainAll(names) }
        releasedByPeer.entries.removeIf { (name, s) -> !next.lists(name, s.incarnation) }
        announced.keys.retainAll(names)
        return held.keys.filter { it !in firstSeenSnapshot || ownerOrNull(it) != self }.onEach { held.remove(it) }
    }

    /**
     * Records that the adopted resources are unchanged through snapshot [revision]. Instances that list the platform's records at different
     * times give the same records different revisions, so one instance may never reach the revision at which another first saw a resource.
     */
    fun markUnchangedTo(revision: Long) {
        unchangedTo = maxOf(unchangedTo, revision)
    }

    /** Records the handles still in use under a released resource, each with its number of requests. */
    fun drain(
        resource: Resource,
        pins: Map<String, Int>,
    ) {
        val entry = draining.getOrPut(resource) { Draining(resource, emptyMap()).also { it.sequence = ++lastSequence } }
        if (entry.pins != pins) {
            entry.pins = pins
            entry.sequence = ++lastSequence
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

    /** Directs each release to the present owner of its resource. */
    private fun retarget() {
        for (d in draining.values) {
            val owner = ownerOrNull(d.resource)
            if (owner != d.to) {
                d.to = owner
                d.sequence = ++lastSequence
                d.acknowledged = false
            }
        }
        draining.values.removeIf { it.pins.isEmpty() && (it.to == null || it.to == self) }
    }

    /** Records that the receiver has acknowledged the release in [order]. */
    fun acknowledged(order: ReleaseOrder) {
        val entry = draining.values.firstOrNull { it.sequence == order.sequence && it.to == order.to } ?: return
        entry.acknowledged = true
        if (entry.pins.isEmpty()) draining.remove(entry.resource)
    }

    /** Returns the roster and snapshot revisions up to which [peer] has acknowledged all releases to it. */
    fun releasedRevisionsFor(peer: String): Pair<Long, Long> {
        retarget()
        if (draining.values.none { it.to == peer && !it.acknowledged }) announced[peer] = roster.revision to maxOf(snapshot, unchangedTo)
        return announced[peer] ?: (0L to 0L)
    }

    /** Records the revisions up to which [from] states that it has released resources. */
    fun recordHeartbeat(
        from: String,
        heartbeat: Heartbeat,
    ) {
        if (!roster.lists(from, heartbeat.incarnation)) return
        val s = releasedByPeer.getOrPut(from) { ReleaseState(heartbeat.incarnation, 0, 0) }
        s.roster = maxOf(s.roster, heartbeat.releasedRevision)
        s.snapshot = maxOf(s.snapshot, heartbeat.releasedSnapshot)
    }

    /** Records the handles that [from] still uses under a resource it has released. */
    fun recordRelease(
        from: String,
        release: Release,
    ) {
        val pins = release.pins.associate { it.handle to it.running }
        val byMember = previousOwnerPins.getOrPut(release.resource) { HashMap() }
        if (pins.isEmpty()) byMember.remove(from) else byMember[from] = pins
    }

    /** Marks the resources that this instance may own from now on as held at the present revision and returns them. */
    fun acquire(): List<Resource> {
        if (roster.memberOrNull(self)?.state != Member.State.Active) return emptyList()
        val others = roster.members.filter { it.instance != self }.map { releasedByPeer[it.instance] }
        // The revisions must be equal: a member at a higher one may have skipped the present one and kept what it did not own there.
        if (others.any { it == null || it.roster != roster.revision }) return emptyList()
        val snapshots = others.minOfOrNull { it?.snapshot ?: 0 } ?: Long.MAX_VALUE
        val ready =
            firstSeenSnapshot.filter { (resource, seen) ->
                resource !in held && snapshots >= seen && ownerOrNull(resource) == self
            }
        return ready.keys.toList().onEach {
            draining.remove(it)
            held[it] = roster.revision
        }
    }

    /** Releases everything, for a new incarnation or a shutdown, and returns the resources that were held. */
    fun clear(): List<Resource> {
        val over = held.keys.toList()
        held.clear()
        previousOwnerPins.clear()
        releasedByPeer.clear()
        announced.clear()
        return over
    }

    fun ownership(resource: Resource): Ownership {
        val epoch = held[resource]
        if (epoch != null) return Ownership.Held(epoch)
        val owner = ownerOrNull(resource) ?: return Ownership.Nobody
        return if (owner == self) Ownership.Pending else Ownership.Elsewhere(owner)
    }

    fun heldResources(): Map<Resource, Long> = held.toMap()

    /** Returns the handles of [resource] that previous owners still use, with request counts summed over them. */
    fun foreignPins(resource: Resource): Map<String, Int> {
        val sum = HashMap<String, Int>()
        previousOwnerPins[resource.key]?.values?.forEach { pins -> pins.forEach { (handle, n) -> sum.merge(handle, n, Int::plus) } }
        return sum
    }
}
