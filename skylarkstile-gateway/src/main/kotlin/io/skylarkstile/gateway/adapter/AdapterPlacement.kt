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
import io.skylarkstile.gateway.target.TargetChoice
import io.skylarkstile.gateway.target.TargetState

/** A further copy is loaded once the delay at every target that has the adapter reaches this, in milliseconds. */
private const val COPY_DELAY_MS = 150.0

/** A further copy goes only to a target whose delay is this part of the best copy's. */
private const val COPY_GAIN = 0.4

/** A target with this delay isn't chosen for a first copy while a target further down the order is faster, in milliseconds. */
private const val BUSY_DELAY_MS = 250.0

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
        val open = choice.usable(now, candidates, tried)
        if (open.isEmpty()) return Placement.None
        val holders = open.filter { it.adapters[adapter] == AdapterPhase.Present }
        val best = holders.minByOrNull { choice.delayMs(now, it) }
        if (best != null) return Placement.Run(best)
        val loading = open.mapNotNull { target -> (target.adapters[adapter] as? AdapterPhase.Loading)?.let { target to it.readyAt } }
        loading.minByOrNull { it.second }?.let { (target, readyAt) -> return Placement.Await(target, readyAt) }
        val orderable = open.filter { it.isOrderable(now) }
        return if (orderable.isEmpty()) Placement.None else Placement.Await(homeOf(now, adapter, orderable), null)
    }

    /** Returns the target that should load a further copy of [adapter] because those that have it are busy. */
    fun copyOrNull(
        now: Long,
        adapter: AdapterVersion,
        candidates: List<TargetState>,
    ): TargetState? {
        val holders = candidates.filter { adapter in it.adapters }
        if (holders.isEmpty() || holders.any { it.adapters[adapter] is AdapterPhase.Loading }) return null
        val best = holders.minOf { choice.delayMs(now, it) }
        if (best < COPY_DELAY_MS) return null
        return ordered(adapter.name, candidates - holders.toSet()).firstOrNull {
            isFreeFor(now, adapter, it) &&
                choice.delayMs(now, it) < best * COPY_GAIN
        }
    }

    private fun homeOf(
        now: Long,
        adapter: AdapterVersion,
        open: List<TargetState>,
    ): TargetState {
        val order = ordered(adapter.name, open)
        return order.firstOrNull { isFreeFor(now, adapter, it) && choice.delayMs(now, it) < BUSY_DELAY_MS }
            ?: order.firstOrNull { isFreeFor(now, adapter, it) }
            ?: order.first()
    }

    /** A target that has another version would have to end its runs before the load, and take no other order meanwhile. */
    private fun isFreeFor(
        now: Long,
        adapter: AdapterVersion,
        target: TargetState,
    ): Boolean = target.isOrderable(now) && !target.isAvoided(now) && target.adapters.keys.none { it.name == adapter.name }

    private fun ordered(
        adapter: AdapterName,
        targets: List<TargetState>,
    ): List<TargetState> = targets.sortedBy { stableHash("$adapter|${it.id}") }
}
