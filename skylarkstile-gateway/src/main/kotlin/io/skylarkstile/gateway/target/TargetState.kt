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
    val silence = TargetSilence()

    /** Calls of this instance that are on the target. */
    var ownWeight = CallWeight.NONE
        private set

    /** Calls of the other instances, as they last said. */
    var peerWeight = CallWeight.NONE

    /** Tokens that the target's memory holds; 0 where it has no engine. */
    var memoryTokens = 0

    /** Calls of this instance on the target by adapter. */
    val adapterCalls = HashMap<AdapterVersion, Int>()

    /** Base models that the target has. */
    var models: Set<String> = entry.models
    var adapters: Map<AdapterVersion, AdapterPhase> = emptyMap()

    /** Time until which the holder of its orders is known to load adapters on request. */
    var orderableUntil = Long.MIN_VALUE

    fun isOrderable(now: Long): Boolean = now < orderableUntil

    /** Returns whether calls should go elsewhere because the target seems to be gone. */
    fun isAvoided(now: Long): Boolean = health.isSuspect || silence.isSilent(now)

    /** Notes any bytes from the target. */
    fun heard(now: Long) {
        silence.heard(now)
        health.heard()
    }

    val id: String get() = entry.id
    val weight: CallWeight get() = ownWeight + peerWeight

    /** Returns the part of the slots or of the memory that calls occupy; above 1 calls wait. */
    val load: Double
        get() {
            val weight = weight
            val memory = if (memoryTokens > 0) weight.tokens.toDouble() / memoryTokens else 0.0
            return maxOf(weight.calls.toDouble() / entry.slots.coerceAtLeast(1), memory)
        }

    /** Counts a call that is sent. */
    fun begin(
        call: CallWeight,
        adapter: AdapterVersion?,
    ) {
        ownWeight += call
        if (adapter != null) adapterCalls.merge(adapter, 1, Int::plus)
    }

    /** Counts [promptTokens] as read, because their call has an answer. */
    fun read(promptTokens: Int) {
        ownWeight += CallWeight(0, 0, -promptTokens)
    }

    /** Counts a call that has ended. */
    fun end(
        call: CallWeight,
        adapter: AdapterVersion?,
    ) {
        ownWeight += CallWeight(-call.calls, -call.tokens, -call.unreadTokens)
        if (adapter != null) adapterCalls.computeIfPresent(adapter) { _, count -> (count - 1).takeIf { it > 0 } }
    }
}
