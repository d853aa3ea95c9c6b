/*
 * Notifies the holders of resources of ownership changes. Ownership changes and heartbeats of this instance share one lock, so that a
 * heartbeat never reports a roster revision before the holders have stopped work on the resources that they lost at that revision.
 */
package io.skylarkstile.entry.cluster

import io.skylarkstile.core.cluster.Ownership
import io.skylarkstile.core.cluster.Resource
import io.skylarkstile.core.cluster.ResourceHolder
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Calls the registered holders. A holder may call the cluster view, but no function that changes the membership. */
internal class OwnershipCoordinator(
    private val core: SynchronizedClusterCore,
    private val snapshotRevision: () -> Long,
    private val snapshotKnownRevision: () -> Long,
    private val now: () -> Long,
) {
    private val lock = ReentrantLock()
    private val holders = CopyOnWriteArrayList<ResourceHolder>()

    /** Snapshot revision at which the resources were last read. */
    private var refreshedAt = -1L

    @Volatile
    private var holderByResource: Map<Resource, ResourceHolder> = emptyMap()

    fun register(holder: ResourceHolder) {
        holders += holder
    }

    /** Runs [block] under the lock, so that ownership does not change meanwhile. */
    fun <T> withStableOwnership(block: () -> T): T = lock.withLock(block)

    /** Calls [change] with the current resources and snapshot revision, and starts to drain the resources that it returns as released. */
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

    /** Holders of resources that drain. Kept separately because a holder no longer lists a deleted target. */
    private val drainingHolders = HashMap<Resource, ResourceHolder>()

    /** Refreshes the resources, updates the handles still in use of released ones and starts the resources that may be owned now. */
    fun step() = lock.withLock {
        // Read before the resources, so that the resources are at least as new as this revision.
        val knownRevision = snapshotKnownRevision()
        changeOwnership { resources, snapshot -> core.use { it.refresh(resources, snapshot, knownRevision) } }
        val pinned = core.use { it.stillPinned() }
        drainingHolders.keys.retainAll(pinned.toSet())
        pinned.forEach { resource ->
            val holder = drainingHolders[resource] ?: return@forEach
            // A resource that this instance owns again reports its handles through normal operation.
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
