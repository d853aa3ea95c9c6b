/*
 * The state of a target as one instance knows it: its entry, its running calls, and the adapters reported by the instance that holds it.
 */
package io.skylarkstile.gateway.target

import io.skylarkstile.core.cluster.stableHash
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.model.Service
import io.skylarkstile.gateway.model.TargetEntry

/** State of an adapter on a target. */
sealed interface AdapterPhase {
    data object Present : AdapterPhase

    /** The adapter is being loaded and expected to be ready at [readyAt]. */
    data class Loading(
        val readyAt: Long,
    ) : AdapterPhase
}

/** Holds the state of one target. Not thread-safe. */
class TargetState(
    var entry: TargetEntry,
) {
    val health = TargetHealth()
    val silence = SilenceDetector()
    val availability = TargetAvailability()
    val callLimit: CallLimit get() = availability.callLimit

    /** Load from the calls of this instance. */
    var ownWeight = CallWeight.NONE
        private set

    /** Load from the calls of other instances, as last reported by them. */
    var otherInstancesWeight = CallWeight.NONE

    /** Capacity of the target's memory in tokens; 0 if it has no engine. */
    var memoryCapacityTokens = 0
        private set

    /** Entry whose statement of the cold period has been applied. */
    private var appliedEntry: TargetEntry? = null

    /** True while the target's data centre is evacuated; it may take calls until [isEvacuated]. */
    var isDeparting = false

    /** True while the target takes no calls because of the evacuation of its data centre. */
    var isEvacuated = false

    /** Number of calls of this instance per adapter. */
    val adapterCalls = HashMap<AdapterVersion, Int>()

    /** Names of the base models that the target has loaded. */
    var models: Set<String> = entry.models
    var adapters: Map<AdapterVersion, AdapterPhase> = emptyMap()

    /** Time until which the instance that holds the target is known to load adapters on request. */
    var orderableUntil = Long.MIN_VALUE

    fun isOrderable(now: Long): Boolean = now < orderableUntil

    /** Returns whether the target accepts only a limited rate of calls: it names a limit, or is cold. */
    fun isLimited(now: Long): Boolean = callLimit.rateOrNull(now) != null

    /** True while new calls may go to the target at some time: its entry says so, it hasn't said that it leaves, and isn't evacuated. */
    val acceptsCalls: Boolean get() = isInService && !isEvacuated

    /** True while new calls may go to the target apart from an evacuation of its data centre. */
    val isInService: Boolean get() = entry.isReady && !availability.isLeaving

    /** Applies the current [service] of the target and, once, what its entry says; returns whether the target is cold by a new entry. */
    fun apply(
        service: Service?,
        now: Long,
    ): Boolean {
        memoryCapacityTokens = service?.engine?.memoryCapacityTokens ?: 0
        callLimit.cold.service = service?.coldStart
        if (appliedEntry == entry) return false
        appliedEntry = entry
        callLimit.cold.state(entry.coldMs, now)
        return callLimit.cold.isCold(now)
    }

    /** Returns whether calls should go elsewhere because the target seems to be gone. */
    fun isSuspected(now: Long): Boolean = health.isSuspect || silence.isSilent(now)

    /** Records that the target sent any data. */
    fun recordActivity(now: Long) {
        silence.recordActivity(now)
        health.recordActivity()
    }

    val id: String get() = entry.id

    /** Hash of the target's id, for placements that rank all targets for each call. */
    val idHash: Long = stableHash(entry.id)
    val weight: CallWeight get() = ownWeight + otherInstancesWeight

    /** Share of the slots or of the memory that calls occupy, whichever is larger; above 1 calls are queued. */
    val load: Double
        get() {
            val weight = weight
            val memory = if (memoryCapacityTokens > 0) weight.tokens.toDouble() / memoryCapacityTokens else 0.0
            return maxOf(weight.calls.toDouble() / entry.slots.coerceAtLeast(1), memory)
        }

    /** Adds a call that is sent. */
    fun addCall(
        call: CallWeight,
        adapter: AdapterVersion?,
    ) {
        ownWeight += call
        if (adapter != null) adapterCalls.merge(adapter, 1, Int::plus)
    }

    /** Records that the target has processed [promptTokens], because the response of their call has started. */
    fun promptProcessed(promptTokens: Int) {
        ownWeight += CallWeight(0, 0, -promptTokens)
    }

    /** Removes a call that has ended. */
    fun removeCall(
        call: CallWeight,
        adapter: AdapterVersion?,
    ) {
        ownWeight += CallWeight(-call.calls, -call.tokens, -call.unreadTokens)
        if (adapter != null) adapterCalls.computeIfPresent(adapter) { _, count -> (count - 1).takeIf { it > 0 } }
    }
}
