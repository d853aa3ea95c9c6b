/*
 * Calls the parts that own resources. All changes of ownership and all heartbeats of this instance pass through one lock, so that a
 * heartbeat never states a roster revision before the holders have stopped what they lost at it.
 */
package io.skylarkstile.entry.cluster

import io.skylarkstile.core.cluster.Ownership
import io.skylarkstile.core.cluster.Resource
import io.skylarkstile.core.cluster.ResourceHolder
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Drives registered holders; holders may call the cluster view, but nothing that changes the membership. */
internal class OwnershipCoordinator(
    private val core: SynchronizedClusterCore,
    private val snapshotRevision: () -> Long,
    private val snapshotKnownRevision: () -> Long,
    private val now: () -> Long,
) {
    private val lock = ReentrantLock()
    private val holders = CopyOnWriteArrayList<ResourceHolder>()

    /** Snapshot revision that the resources were read at. */
    private var refreshedAt = -1L

    @Volatile
    private var holderByResource: Map<Resource, ResourceHolder> = emptyMap()

    fun register(holder: ResourceHolder) {
        holders += holder
    }

    /** Runs [block] while no ownership changes. */
    fun <T> withStableOwnership(block: () -> T): T = lock.withLock(block)

    /** Runs [change], which gets the resources and snapshot revision of now, and stops what it returns as released. */
    fun changeOwnership(change: (resources: List<Resource>, snapshot: Long) -> List<Resource>) = lock.withLock {
        val snapshot = snapshotRevision()
        val before = holderByResource
        val after = LinkedHashMap<Resource, ResourceHolder>()
        holders.forEach { holder -> holder.resources().forEach { after[it] = holder } }
        holderByResource = after
        change(after.keys.toList(), snapshot).forEach { startDraining(it, after[it] ?: before[it]) }
    }

    private fun startDraining(
        resource: Resource,
        holder: ResourceHolder?,
    ) {
        val pins = holder?.released(resource).orEmpty()
        if (holder != null) drainingHolders[resource] = holder
        core.use { it.drain(resource, pins) }
    }

    /** Holders of released resources; a deleted target is not listed by its holder any more. */
    private val drainingHolders = HashMap<Resource, ResourceHolder>()

    /** Takes over the present records, asks for the remaining pins and starts what may be owned now. */
    fun step() = lock.withLock {
        // Read before the resources, which are then at least as new.
        val knownRevision = snapshotKnownRevision()
        changeOwnership { resources, snapshot -> core.use { it.refresh(resources, snapshot, knownRevision) } }
        val pinned = core.use { it.stillPinned() }
        drainingHolders.keys.retainAll(pinned.toSet())
        pinned.forEach { resource ->
            val holder = drainingHolders[resource] ?: return@forEach
            // A resource that came back here reports its handles by itself.
            if (core.use { it.ownership(resource) } !is Ownership.Held) core.use { it.drain(resource, holder.released(resource)) }
        }
        acquire()
    }

    private fun acquire() {
        core.use { it.acquire(now()) }.forEach { resource ->
            val epoch = core.use { it.heldResources()[resource] } ?: return@forEach
            holderByResource[resource]?.acquired(resource, epoch)
        }
    }
}
