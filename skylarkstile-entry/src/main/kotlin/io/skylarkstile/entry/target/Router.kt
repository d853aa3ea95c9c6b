/*
 * Choice of the target of a request, based on the target records, the ownership of the targets and the states that their owners broadcast.
 */
package io.skylarkstile.entry.target

import io.skylarkstile.core.cluster.ClusterView
import io.skylarkstile.core.cluster.Ownership
import io.skylarkstile.core.cluster.targetResource
import io.skylarkstile.core.placement.PlacementCosts
import io.skylarkstile.core.placement.RankedTarget
import io.skylarkstile.core.placement.RoutingPolicy
import io.skylarkstile.core.placement.TargetView
import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.core.snapshot.SnapshotSource
import io.skylarkstile.schema.generated.TargetRecord
import io.skylarkstile.schema.generated.TargetState
import io.skylarkstile.transport.peer.MessageKinds
import io.skylarkstile.transport.peer.PeerNetwork
import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Assumed duration of a request until the first one was measured. */
private const val INITIAL_REQUEST_MS = 1_000.0

/** Estimated cost of a load: about 250 ms for the load itself and about as much for the permit and an eviction. */
private const val LOAD_COST_MS = 500.0

/** Weight of the latest request in the moving average of the duration. */
private const val SMOOTHING_FACTOR = 0.02

/** Owners broadcast their state every second. After three missed broadcasts, a target whose last state refused requests is tried again. */
private const val STALE_MS = 3_000L

/** A target that can run a request, and the instance that owns it. */
data class Candidate(
    val target: String,
    val owner: String,
    val expectedMs: Long,
    val reason: String,
)

/** Reports what the router knows about one target. */
@Serializable
data class RouterDump(
    val target: String,
    val state: TargetState?,
    val ageMs: Long?,
    val sentSince: Int,
)

/** Chooses targets. */
interface Router {
    /** Returns the targets that can run [version] of [adapter], best first; empty when no target has an owner. */
    fun candidates(
        adapter: String,
        version: String,
        now: Long,
    ): List<Candidate>

    /** Returns the instance that owns the best target of [adapter]; uses its active version if [version] is null. */
    fun likelyOwnerOrNull(
        adapter: String,
        version: String?,
        now: Long,
    ): String?

    fun dump(now: Long): List<RouterDump>
}

/** Ranks targets by the latest states received from their owners. */
internal class StateRouter(
    private val cluster: ClusterView,
    private val snapshots: SnapshotSource,
    private val network: PeerNetwork,
    private val policy: RoutingPolicy,
    private val now: () -> Long,
) : Router {
    private class ReceivedState(
        val state: TargetState,
        val at: Long,
    ) {
        val sent = AtomicInteger()
    }

    private val latestStates = ConcurrentHashMap<String, ReceivedState>()

    @Volatile
    private var requestMs = INITIAL_REQUEST_MS

    init {
        network.receive(MessageKinds.targetState) { _, state -> accept(state) }
    }

    /** Stores [state] if it is newer than the known one. A higher epoch is newer regardless of the sequence number. */
    fun accept(state: TargetState) {
        latestStates.compute(state.target) { _, old -> if (old == null || isNewer(state, old.state)) ReceivedState(state, now()) else old }
    }

    private fun isNewer(
        state: TargetState,
        old: TargetState,
    ): Boolean = state.epoch > old.epoch || state.epoch == old.epoch && state.sequence > old.sequence

    /** Counts a request sent to [target] since its latest state, which does not include it yet. */
    fun recordSent(target: String) {
        latestStates[target]?.sent?.incrementAndGet()
    }

    /** Adds the duration of a finished request to the moving average. */
    fun recordFinished(tookMs: Long) {
        requestMs += (tookMs - requestMs) * SMOOTHING_FACTOR
    }

    override fun candidates(
        adapter: String,
        version: String,
        now: Long,
    ): List<Candidate> {
        val snapshot = snapshots.current()
        val model = "$adapter@$version"
        val connected = network.connected()
        val owners =
            usableTargets(snapshot, adapter, now)
                .mapNotNull { (name, record) ->
                    ownerOrNull(name, record, now)?.let { name to it }
                }.toMap()
        val views =
            owners.map { (name, owner) ->
                view(
                    name,
                    snapshot.targets.getValue(name),
                    model,
                    owner == cluster.self || owner in connected,
                )
            }
        return policy.rank(model, views, PlacementCosts(requestMs, LOAD_COST_MS)).map { candidate(it, owners.getValue(it.target)) }
    }

    private fun candidate(
        ranked: RankedTarget,
        owner: String,
    ): Candidate = Candidate(ranked.target, owner, ranked.expectedMs, ranked.reason)

    private fun usableTargets(
        snapshot: Snapshot,
        adapter: String,
        now: Long,
    ): Map<String, TargetRecord> {
        val baseModel = snapshot.adapters[adapter]?.baseModel
        return snapshot.targets.filter { (name, record) ->
            record.type == TargetRecord.Type.Engine &&
                record.baseModel == baseModel &&
                baseModel != null &&
                !record.draining &&
                name !in snapshot.leavingTargets &&
                !isRefusing(name, now)
        }
    }

    private fun isRefusing(
        name: String,
        now: Long,
    ): Boolean = latestStates[name]?.let { !it.state.accepting && now - it.at < STALE_MS } ?: false

    private fun ownerOrNull(
        name: String,
        record: TargetRecord,
        now: Long,
    ): String? = when (val ownership = cluster.ownership(targetResource(name, record.dataCentre), now)) {
        is Ownership.Held -> cluster.self
        is Ownership.Elsewhere -> ownership.instance
        Ownership.Pending, Ownership.Nobody -> null
    }

    private fun view(
        name: String,
        record: TargetRecord,
        model: String,
        isReachable: Boolean,
    ): TargetView {
        val received = latestStates[name] ?: return TargetView(name, isLoaded = false, isLoading = false, 0, record.maxRunning, isReachable)
        val state = received.state
        return TargetView(
            name,
            model in state.loaded,
            model in state.loading,
            state.running + state.queued + received.sent.get(),
            record.maxRunning,
            isReachable,
            state.victimRate ?: Double.POSITIVE_INFINITY,
        )
    }

    override fun likelyOwnerOrNull(
        adapter: String,
        version: String?,
        now: Long,
    ): String? {
        val requestedVersion = version ?: snapshots.current().adapters[adapter]?.activeVersion ?: return null
        return candidates(adapter, requestedVersion, now).firstOrNull()?.owner
    }

    override fun dump(now: Long): List<RouterDump> = snapshots.current().targets.keys.map { name ->
        val received = latestStates[name]
        RouterDump(name, received?.state, received?.let { now - it.at }, received?.sent?.get() ?: 0)
    }
}
