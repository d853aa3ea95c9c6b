/*
 * Defines the cluster membership API that the other components of an entry instance use.
 */
package io.skylarkstile.entry.cluster

import io.skylarkstile.core.cluster.ClusterTiming
import io.skylarkstile.core.cluster.ClusterView
import io.skylarkstile.core.cluster.RemovalDump
import io.skylarkstile.core.cluster.ResourceHolder
import io.skylarkstile.schema.generated.ClusterSettings
import io.skylarkstile.schema.generated.InstanceSettings
import io.skylarkstile.schema.generated.Member
import io.skylarkstile.schema.generated.Roster
import io.skylarkstile.transport.peer.LinkDump
import io.skylarkstile.transport.peer.PeerNode
import io.skylarkstile.transport.platform.ObjectStore
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Dispatchers
import kotlinx.serialization.Serializable

/** Receives membership events. The functions are called on an unspecified thread and must return quickly. */
interface ClusterListener {
    /** Called when the lease becomes valid, for the first time or again. */
    fun onLeaseGained() = Unit

    /** Called when the lease has expired. From then on the instance must not admit requests, send orders to targets or start work. */
    fun onLeaseLapsed() = Unit

    /** Called when the lease has not been confirmed for `isolationMs` milliseconds. Running responses must end. */
    fun onIsolated() = Unit

    /** Called when [peer] reports a snapshot with a [revision] newer than the local one. */
    fun onNewerSnapshot(
        peer: String,
        revision: Long,
    ) = Unit

    /** Called when a newer roster has been adopted. */
    fun onRoster(roster: Roster) = Unit
}

/** Describes the state of the membership in the state dump. */
@Serializable
data class ClusterDump(
    val self: Member,
    val roster: Roster,
    val active: Boolean,
    val leaseRemainingMs: Long,
    val unconfirmedMs: Long,
    val platformReachable: Boolean,
    val owned: Map<String, Long>,
    val stillPinned: List<String>,
    val removals: List<RemovalDump>,
    val links: List<LinkDump>,
)

/** Keeps this instance a member of the cluster, and acquires and releases the resources that it owns. */
interface ClusterService :
    ClusterView,
    AutoCloseable {
    /** Adds a component that owns resources. Must be called before [start]. */
    fun register(holder: ResourceHolder)

    /** Adds a listener. Must be called before [start]. */
    fun addListener(listener: ClusterListener)

    /** Starts joining the cluster; returns at once. */
    fun start()

    /** Returns whether the last call to the platform succeeded. */
    fun platformReachable(): Boolean

    /**
     * Announces that this instance leaves and releases all its resources. Returns whether all resources were released and no handle of
     * them was in use any more within [timeoutMs] milliseconds.
     */
    suspend fun leave(timeoutMs: Long): Boolean

    /**
     * Waits until all members know that this instance leaves. May be called while [leave], which announces it, is still running. Returns
     * whether they knew within [timeoutMs] milliseconds.
     */
    suspend fun awaitLeavingAcknowledged(timeoutMs: Long): Boolean

    /** Gives up the lease and the place in the roster. Returns whether the roster no longer listed it within [timeoutMs] milliseconds. */
    suspend fun endMembership(timeoutMs: Long): Boolean

    fun dump(): ClusterDump
}

/** Holds the collaborators, clocks and snapshot revisions that a [ClusterService] uses. */
class ClusterEnv(
    val network: PeerNode,
    val store: ObjectStore,
    /** Returns the revision of the snapshot in force on this instance. Read before the resources that depend on the snapshot. */
    val snapshotRevision: () -> Long,
    /** Monotonic clock in milliseconds. Must be the clock that callers of [ClusterView] use. */
    val now: () -> Long = { System.nanoTime() / 1_000_000 },
    /** Wall clock in milliseconds; used for incarnation numbers only. */
    val wallClock: () -> Long = System::currentTimeMillis,
    val dispatcher: CoroutineDispatcher = Dispatchers.Default,
    /** Returns the platform revision up to which the records of that snapshot are known to be unchanged. */
    val snapshotKnownRevision: () -> Long = snapshotRevision,
)

/** Creates the service. [incarnation] must be the number that [ClusterEnv.network] was created with. */
fun clusterService(
    instance: InstanceSettings,
    cluster: ClusterSettings,
    incarnation: Long,
    env: ClusterEnv,
): ClusterService = DefaultClusterService(
    Member(
        instance = instance.name,
        incarnation = incarnation,
        callerAddress = instance.advertisedCallerAddress ?: instance.callerAddress,
        peerAddress = instance.advertisedPeerAddress ?: instance.peerAddress,
        dataCentre = instance.dataCentre,
        state = Member.State.Joining,
    ),
    timingOf(cluster),
    cluster.seeds
        .split(',')
        .map { it.trim() }
        .filter { it.isNotEmpty() },
    env,
)

internal fun timingOf(settings: ClusterSettings) = ClusterTiming(
    heartbeatMs = settings.heartbeatMs.toLong(),
    leaseMs = settings.leaseMs.toLong(),
    guardMs = settings.guardMs.toLong(),
    isolationMs = settings.isolationMs.toLong(),
)
