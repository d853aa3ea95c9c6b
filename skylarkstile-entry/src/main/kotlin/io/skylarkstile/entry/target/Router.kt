/*
 * Which target should run a request, from the records, the ownership and the states that the owners send.
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

private const val FIRST_REQUEST_MS = 1_000.0

/** A load takes about 250 ms; waiting for a permit and an eviction about as long again. */
private const val LOAD_COST_MS = 500.0
private const val AVERAGE_STEP = 0.02

/** Owners send their state each second; after three missed ones a refusal to accept work is no longer believed. */
private const val STALE_MS = 3_000L

/** One target to try, with the instance that owns it. */
data class Candidate(
    val target: String,
    val owner: String,
    val expectedMs: Long,
    val reason: String,
)

/** What the router knows of one target, for dumps. */
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

    /** Returns the instance that owns the likely target of [adapter], in its active version when [version] is null. */
    fun addressFor(
        adapter: String,
        version: String?,
        now: Long,
    ): String?

    fun dump(now: Long): List<RouterDump>
}

internal class StateRouter(
    private val cluster: ClusterView,
    private val snapshots: SnapshotSource,
    private val network: PeerNetwork,
    private val policy: RoutingPolicy,
    private val now: () -> Long,
) : Router {
    private class Seen(
        val state: TargetState,
        val at: Long,
    ) {
        val sent = AtomicInteger()
    }

    private val seen = ConcurrentHashMap<String, Seen>()

    @Volatile
    private var requestMs = FIRST_REQUEST_MS

    init {
        network.receive(MessageKinds.targetState) { _, state -> accept(state) }
    }

    /** Takes over a newer [state]. A higher epoch replaces a lower one whatever the sequence. */
    fun accept(state: TargetState) {
        seen.compute(state.target) { _, old -> if (old == null || isNewer(state, old.state)) Seen(state, now()) else old }
    }

    private fun isNewer(
        state: TargetState,
        old: TargetState,
    ): Boolean = state.epoch > old.epoch || state.epoch == old.epoch && state.sequence > old.sequence

    /** Counts a request sent to [target] that its next state will include. */
    fun sent(target: String) {
        seen[target]?.sent?.incrementAndGet()
    }

    /** Takes the duration of a finished request into the average. */
    fun finished(tookMs: Long) {
        requestMs += (tookMs - requestMs) * AVERAGE_STEP
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
    ): Boolean = seen[name]?.let { !it.state.accepting && now - it.at < STALE_MS } ?: false

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
        val known = seen[name] ?: return TargetView(name, isLoaded = false, isLoading = false, 0, record.maxRunning, isReachable)
        val state = known.state
        return TargetView(
            name,
            model in state.loaded,
            model in state.loading,
            state.running + state.queued + known.sent.get(),
            record.maxRunning,
            isReachable,
            state.victimRate ?: Double.POSITIVE_INFINITY,
        )
    }

    override fun addressFor(
        adapter: String,
        version: String?,
        now: Long,
    ): String? {
        val wanted = version ?: snapshots.current().adapters[adapter]?.activeVersion ?: return null
        return candidates(adapter, wanted, now).firstOrNull()?.owner
    }

    override fun dump(now: Long): List<RouterDump> = snapshots.current().targets.keys.map { name ->
        val known = seen[name]
        RouterDump(name, known?.state, known?.let { now - it.at }, known?.sent?.get() ?: 0)
    }
}
