/*
 * The membership of one entry instance as the rest of the process sees it.
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

/** Is told about changes of the membership, on an unspecified thread; the functions must return quickly. */
interface ClusterListener {
    /** The lease is valid again, or for the first time. */
    fun onLeaseGained() = Unit

    /** The lease is over: admit nothing, give no orders, start no work. */
    fun onLeaseLapsed() = Unit

    /** The last valid confirmation of the lease is `isolationMs` ago: end running answers. */
    fun onIsolated() = Unit

    /** [peer] reports that it has the snapshot of [revision], which is newer than the one here. */
    fun onNewerSnapshot(
        peer: String,
        revision: Long,
    ) = Unit

    /** There is a newer roster. */
    fun onRoster(roster: Roster) = Unit
}

/** State of the membership for operators. */
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

/** Keeps this instance a member of the cluster and moves ownership. */
interface ClusterService :
    ClusterView,
    AutoCloseable {
    /** Adds a part that owns resources; called before [start]. */
    fun register(holder: ResourceHolder)

    /** Adds a listener; called before [start]. */
    fun addListener(listener: ClusterListener)

    /** Begins to join. */
    fun start()

    /** Returns whether the last call to the platform succeeded. */
    fun platformReachable(): Boolean

    /** Moves ownership away. Returns whether all of it, pins included, was gone within [timeoutMs] milliseconds. */
    suspend fun leave(timeoutMs: Long): Boolean

    /** Waits, after [leave] has begun, until all members know that this instance leaves; returns whether they did within [timeoutMs] milliseconds. */
    suspend fun awaitLeavingAcknowledged(timeoutMs: Long): Boolean

    /** Gives up the lease and leaves the roster; returns whether the roster shows it within [timeoutMs] milliseconds. */
    suspend fun endMembership(timeoutMs: Long): Boolean

    fun dump(): ClusterDump
}

/** What a [ClusterService] works with. */
class ClusterDependencies(
    val network: PeerNode,
    val store: ObjectStore,
    /** Returns the revision of the snapshot in force here; read before the resources that depend on it. */
    val snapshotRevision: () -> Long,
    /** Monotonic clock in milliseconds; the one that callers of [ClusterView] use. */
    val now: () -> Long = { System.nanoTime() / 1_000_000 },
    /** Wall clock in milliseconds, for incarnation numbers only. */
    val wallClock: () -> Long = System::currentTimeMillis,
    val dispatcher: CoroutineDispatcher = Dispatchers.Default,
    /** Returns the platform revision up to which that snapshot is known not to have changed. */
    val snapshotKnownRevision: () -> Long = snapshotRevision,
)

/** Creates the service of the instance of the settings. [incarnation] is the number that [ClusterDependencies.network] was created with. */
fun clusterService(
    instance: InstanceSettings,
    cluster: ClusterSettings,
    incarnation: Long,
    dependencies: ClusterDependencies,
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
    dependencies,
)

internal fun timingOf(settings: ClusterSettings) = ClusterTiming(
    heartbeatMs = settings.heartbeatMs.toLong(),
    leaseMs = settings.leaseMs.toLong(),
    guardMs = settings.guardMs.toLong(),
    isolationMs = settings.isolationMs.toLong(),
)
