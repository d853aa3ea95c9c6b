/*
 * Chooses the target on which a call for an adapter runs, or which target loads a missing adapter, for thousands of adapters on few slots.
 * Each adapter ranks the targets by a hash that is the same on all instances: an adapter loads ten times as fast on a target that held it
 * recently, and two instances that miss it at the same moment load it only once.
 */
package io.skylarkstile.gateway.adapter

import io.skylarkstile.core.cluster.combinedHash
import io.skylarkstile.core.cluster.stableHash
import io.skylarkstile.gateway.model.AdapterName
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.target.AdapterPhase
import io.skylarkstile.gateway.target.TargetSelector
import io.skylarkstile.gateway.target.TargetState

/** Delay that every target with the adapter must reach before another copy is loaded, in milliseconds. */
private const val MIN_COPY_DELAY_MS = 150.0

/** Another copy is only loaded on a target whose delay is below this fraction of the lowest delay among the existing copies. */
private const val MAX_COPY_DELAY_RATIO = 0.4

/** Delay from which a target is skipped for a first copy while a lower-ranked target is below it, in milliseconds. */
private const val BUSY_DELAY_MS = 250.0

/** Decision for a call that needs an adapter. */
sealed interface Placement {
    /** Send the call to [target] now. */
    data class Run(
        val target: TargetState,
    ) : Placement

    /** Make [target] load the adapter and wait. [readyAt] is the expected end of a load already in progress, otherwise null. */
    data class LoadAndWait(
        val target: TargetState,
        val readyAt: Long?,
    ) : Placement

    /** The targets that have the adapter or load it take no call before [until], because of their limits or pauses. */
    data class Blocked(
        val until: Long,
    ) : Placement

    /** No target can take the call. */
    data object NoTarget : Placement
}

/** Applies these placement rules with the load estimates of [selector]. */
class AdapterPlacement(
    private val selector: TargetSelector,
) {
    /**
     * Places a call for [adapter] on one of [candidates]; [tried] holds the ids of targets on which this call has failed. If the limits of
     * the targets that have the adapter are used up, another copy is only loaded on a target without a limit: one with a limit takes no
     * more calls for it, and would drop an adapter that others use.
     */
    fun place(
        now: Long,
        adapter: AdapterVersion,
        candidates: List<TargetState>,
        tried: Set<String>,
    ): Placement {
        val available = selector.available(now, candidates, tried)
        if (available.isEmpty()) return Placement.NoTarget
        val copies = available.filter { adapter in it.adapters }
        val usable = copies.filter { !it.availability.isBlocked(now) }
        val present = usable.filter { it.adapters[adapter] == AdapterPhase.Present }
        val best = present.filter { !it.isDeparting }.ifEmpty { present }.minByOrNull { selector.delayMs(now, it) }
        if (best != null) return Placement.Run(best)
        val loading = usable.mapNotNull { target -> (target.adapters[adapter] as? AdapterPhase.Loading)?.let { target to it.readyAt } }
        loading.minByOrNull { it.second }?.let { (target, readyAt) -> return Placement.LoadAndWait(target, readyAt) }
        val loadable = available.filter { mayLoad(now, it) && (copies.isEmpty() || !it.isLimited(now)) }
        if (loadable.isNotEmpty()) return Placement.LoadAndWait(preferredTarget(now, adapter, loadable), null)
        val blockedUntil = copies.mapNotNull { it.availability.blockedUntilOrNull(now) }.minOrNull()
        return blockedUntil?.let(Placement::Blocked) ?: Placement.NoTarget
    }

    private fun mayLoad(
        now: Long,
        target: TargetState,
    ): Boolean = target.isOrderable(now) && !target.availability.isBlocked(now) && !target.isDeparting

    /**
     * Returns the target that should load another copy of [adapter], because those that have it are busy or in data centres under evacuation,
     * or null if none should.
     */
    fun copyTargetOrNull(
        now: Long,
        adapter: AdapterVersion,
        candidates: List<TargetState>,
    ): TargetState? {
        val holders = candidates.filter { adapter in it.adapters }
        if (holders.isEmpty() || holders.any { it.adapters[adapter] is AdapterPhase.Loading }) return null
        val best = holders.minOf { selector.delayMs(now, it) }
        val areDeparting = holders.all { it.isDeparting }
        if (best < MIN_COPY_DELAY_MS && !areDeparting) return null
        val maxDelayMs = if (areDeparting) BUSY_DELAY_MS else best * MAX_COPY_DELAY_RATIO
        return firstRankedOrNull(adapter.name, candidates) {
            adapter !in it.adapters &&
                !it.isDeparting &&
                !it.isLimited(now) &&
                isFreeFor(now, adapter, it) &&
                selector.delayMs(now, it) < maxDelayMs
        }
    }

    private fun preferredTarget(
        now: Long,
        adapter: AdapterVersion,
        available: List<TargetState>,
    ): TargetState {
        val free = available.filter { isFreeFor(now, adapter, it) }
        val idle = free.filter { selector.delayMs(now, it) < BUSY_DELAY_MS }
        return firstRankedOrNull(adapter.name, idle) { !it.isLimited(now) }
            ?: firstRankedOrNull(adapter.name, idle)
            ?: firstRankedOrNull(adapter.name, free)
            ?: checkNotNull(firstRankedOrNull(adapter.name, available))
    }

    /** A target with another version must wait for the calls running on it before it loads, and accepts no other order meanwhile. */
    private fun isFreeFor(
        now: Long,
        adapter: AdapterVersion,
        target: TargetState,
    ): Boolean = target.isOrderable(now) && !target.isSuspected(now) && target.adapters.keys.none { it.name == adapter.name }

    /** Returns the first of those [targets] that meet [condition], in the order in which all instances rank them for [adapter]. */
    private inline fun firstRankedOrNull(
        adapter: AdapterName,
        targets: List<TargetState>,
        condition: (TargetState) -> Boolean = { true },
    ): TargetState? {
        val adapterHash = stableHash("$adapter")
        return targets.filter(condition).minByOrNull { combinedHash(adapterHash, it.idHash) }
    }
}
