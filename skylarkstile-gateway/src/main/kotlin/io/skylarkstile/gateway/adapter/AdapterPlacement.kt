/*
 * On which target a call for an adapter runs, and where an adapter that is missing is loaded. Each adapter has a fixed order of targets,
 * the same on all instances: an adapter that comes back to a target that held it lately loads ten times as fast, and two instances that
 * miss it at the same moment load it once. Answers a load of thousands of adapters on few places.
 */
package io.skylarkstile.gateway.adapter

import io.skylarkstile.core.cluster.stableHash
import io.skylarkstile.gateway.model.AdapterName
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.target.AdapterPhase
import io.skylarkstile.gateway.target.FULL_LOAD
import io.skylarkstile.gateway.target.TargetChoice
import io.skylarkstile.gateway.target.TargetState

/** A further copy is loaded once every target that has the adapter is loaded by this part of its slots. */
private const val COPY_LOAD = 0.8

/** A target this loaded isn't chosen for a first copy while a target further down the order is less loaded. */
private const val BUSY_LOAD = 1.2

/** Tells what to do with a call for an adapter. */
sealed interface Placement {
    /** Send the call to [target] now. */
    data class Run(
        val target: TargetState,
    ) : Placement

    /** Have [target] load the adapter and wait; [readyAt] is the expected end where the load runs already. */
    data class Await(
        val target: TargetState,
        val readyAt: Long?,
    ) : Placement

    /** No target can take the call. */
    data object None : Placement
}

/** Places calls for adapters with the rules above. */
class AdapterPlacement(
    private val choice: TargetChoice,
) {
    /** Decides for [adapter] among [candidates]; [tried] holds targets that have failed this call. */
    fun place(
        now: Long,
        adapter: AdapterVersion,
        candidates: List<TargetState>,
        tried: Set<String>,
    ): Placement {
        val usable = candidates.filter { it.id !in tried && it.load < FULL_LOAD }
        val open = usable.filter { !it.health.isPaused(now) }.ifEmpty { usable }
        if (open.isEmpty()) return Placement.None
        val holders = open.filter { it.adapters[adapter] == AdapterPhase.Present }
        val best = holders.minByOrNull { choice.cost(now, it) }
        if (best != null) return Placement.Run(best)
        val loading = open.mapNotNull { target -> (target.adapters[adapter] as? AdapterPhase.Loading)?.let { target to it.readyAt } }
        loading.minByOrNull { it.second }?.let { (target, readyAt) -> return Placement.Await(target, readyAt) }
        val orderable = open.filter { it.isOrderable(now) }
        return if (orderable.isEmpty()) Placement.None else Placement.Await(homeOf(now, adapter.name, orderable), null)
    }

    /** Returns the target that should load a further copy of [adapter] because those that have it are busy. */
    fun copyOrNull(
        now: Long,
        adapter: AdapterVersion,
        candidates: List<TargetState>,
    ): TargetState? {
        val holders = candidates.filter { adapter in it.adapters }
        if (holders.isEmpty() || holders.any { it.load < COPY_LOAD || it.adapters[adapter] is AdapterPhase.Loading }) return null
        return ordered(adapter.name, candidates - holders.toSet())
            .firstOrNull { it.load < COPY_LOAD / 2 && it.isOrderable(now) && !it.health.isPaused(now) }
    }

    private fun homeOf(
        now: Long,
        adapter: AdapterName,
        open: List<TargetState>,
    ): TargetState {
        val order = ordered(adapter, open)
        return order.firstOrNull { it.load < BUSY_LOAD && it.health.failureShare(now) < FAILING_SHARE } ?: order.first()
    }

    private fun ordered(
        adapter: AdapterName,
        targets: List<TargetState>,
    ): List<TargetState> = targets.sortedBy { stableHash("$adapter|${it.id}") }

    private companion object {
        /** Share of failures from which a target isn't chosen for a first copy while another one can take it. */
        const val FAILING_SHARE = 0.3
    }
}
