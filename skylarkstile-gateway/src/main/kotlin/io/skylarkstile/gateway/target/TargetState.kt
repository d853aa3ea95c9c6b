/*
 * What an instance knows of one target: its entry, the calls that run on it, and the adapters that its holder says it has.
 */
package io.skylarkstile.gateway.target

import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.model.TargetEntry

/** Tells where an adapter stands on a target. */
sealed interface AdapterPhase {
    data object Present : AdapterPhase

    /** The load ends at about [readyAt]. */
    data class Loading(
        val readyAt: Long,
    ) : AdapterPhase
}

/** Holds what is known of one target. Not thread-safe. */
class TargetState(
    var entry: TargetEntry,
) {
    val health = TargetHealth()

    /** Calls of this instance that are on the target. */
    var ownCalls = 0

    /** Calls of the other instances, as they last said. */
    var peerCalls = 0

    /** Calls of this instance on the target by adapter. */
    val adapterCalls = HashMap<AdapterVersion, Int>()
    var adapters: Map<AdapterVersion, AdapterPhase> = emptyMap()

    /** Time until which the holder of its orders is known to load adapters on request. */
    var orderableUntil = Long.MIN_VALUE

    fun isOrderable(now: Long): Boolean = now < orderableUntil

    val id: String get() = entry.id
    val calls: Int get() = ownCalls + peerCalls

    /** Returns the part of the slots that calls occupy; above 1 calls wait. */
    val load: Double get() = calls.toDouble() / entry.slots.coerceAtLeast(1)

    fun begin(adapter: AdapterVersion?) {
        ownCalls++
        if (adapter != null) adapterCalls.merge(adapter, 1, Int::plus)
    }

    fun end(adapter: AdapterVersion?) {
        ownCalls--
        if (adapter != null) adapterCalls.computeIfPresent(adapter) { _, count -> (count - 1).takeIf { it > 0 } }
    }
}
