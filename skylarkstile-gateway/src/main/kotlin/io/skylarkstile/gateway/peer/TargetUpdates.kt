/*
 * Updates about the adapters on targets: holders announce what their targets have loaded, other instances what their calls wait for. In a
 * large fleet, holders notify the waiting instances directly, and all others learn of changes from the reports.
 */
package io.skylarkstile.gateway.peer

import io.skylarkstile.gateway.adapter.AdapterManager
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.target.AdapterPhase
import io.skylarkstile.gateway.target.TargetState
import io.skylarkstile.gateway.target.TargetTable
import io.skylarkstile.schema.generated.HeldTarget
import io.skylarkstile.schema.generated.LoadingAdapter

/** A target counts as orderable for this long after its holder last announced it, in milliseconds. */
private const val ORDERABLE_MS = 1_500L

/** An instance whose call waits for an adapter is notified of changes on the target for this long, in milliseconds. */
private const val WAITING_MS = 2_000L

/**
 * Tracks the adapters of [targets]. [processId] names this process in updates (instance name and start time); [adapterManager] orders
 * adapters on the targets that this instance holds. Not thread-safe.
 */
internal class TargetUpdates(
    private val processId: String,
    private val targets: TargetTable,
    private val adapterManager: () -> AdapterManager,
    private val onChange: (TargetState) -> Unit,
) {
    private class LastUpdate(
        val processId: String,
        val number: Long,
    )

    private val lastUpdates = HashMap<String, LastUpdate>()
    private val waitingInstances = HashMap<String, HashMap<String, Long>>()
    private val changed = LinkedHashSet<String>()
    private var number = 0L

    /** Records that calls of [instance] wait for an adapter on [target]. */
    fun recordWaiting(
        target: String,
        instance: String,
        now: Long,
    ) {
        waitingInstances.getOrPut(target) { HashMap() }[instance] = now
    }

    /** Records that the adapters of the held [target] have changed. */
    fun changed(target: TargetState) {
        changed.add(target.id)
    }

    /** Returns the changed held targets for which calls wait, each with the waiting instances, and clears the recorded changes. */
    fun takeNotices(now: Long): List<Pair<HeldTarget, Set<String>>> {
        waitingInstances.values.forEach { waiting -> waiting.values.removeIf { now - it > WAITING_MS } }
        waitingInstances.values.removeIf { it.isEmpty() }
        val notices =
            changed.mapNotNull(targets::get).mapNotNull { target ->
                waitingInstances[target.id]?.let {
                    heldTargetOf(target, now, true) to
                        it.keys.toSet()
                }
            }
        changed.clear()
        return notices
    }

    /** Returns the targets that this instance holds. With [isOrdered], they carry numbers by which receivers detect outdated updates. */
    fun held(
        now: Long,
        isOrdered: Boolean,
    ): List<HeldTarget> = adapterManager().known().map { heldTargetOf(it, now, isOrdered) }

    /** Applies another instance's update about a target that it holds. */
    fun apply(
        held: HeldTarget,
        now: Long,
    ) {
        val target = targets[held.target] ?: return
        if (adapterManager().isHeld(held.target) || !isNewer(held)) return
        if (held.isOrderable) target.orderableUntil = now + ORDERABLE_MS
        val present = held.present.mapNotNull(AdapterVersion::parseOrNull).associateWith { AdapterPhase.Present }
        val loading =
            held.loading.mapNotNull { item ->
                AdapterVersion.parseOrNull(item.adapter)?.let { it to AdapterPhase.Loading(now + item.readyInMs) }
            }
        val before = target.adapters
        target.adapters = present + loading
        if (before != target.adapters) onChange(target)
    }

    /** Marks the targets [ids] as orderable: their holders load adapters on request. */
    fun markOrderable(
        ids: List<String>,
        now: Long,
    ) = ids.mapNotNull(targets::get).forEach { it.orderableUntil = maxOf(it.orderableUntil, now + ORDERABLE_MS) }

    /**
     * Returns whether [held] is newer than the last update of its holder. Updates may arrive out of order, since they come both
     * directly and through the aggregators.
     */
    private fun isNewer(held: HeldTarget): Boolean {
        val from = held.holder ?: return true
        val rank = held.number ?: 0
        val known = lastUpdates[held.target]
        if (known != null && known.processId == from && known.number >= rank) return false
        lastUpdates[held.target] = LastUpdate(from, rank)
        // Bounds the map: removes entries of targets that no longer exist.
        if (lastUpdates.size > 2 * targets.all.size) lastUpdates.keys.removeIf { targets[it] == null }
        return true
    }

    private fun heldTargetOf(
        target: TargetState,
        now: Long,
        isOrdered: Boolean,
    ): HeldTarget {
        val (present, loading) = target.adapters.entries.partition { it.value == AdapterPhase.Present }
        return HeldTarget(
            target = target.id,
            isOrderable = target.isOrderable(now),
            present = present.map { "${it.key}" },
            loading =
                loading.map { (adapter, phase) ->
                    LoadingAdapter("$adapter", maxOf(0, (phase as AdapterPhase.Loading).readyAt - now))
                },
            holder = processId.takeIf { isOrdered },
            number = (++number).takeIf { isOrdered },
        )
    }
}
