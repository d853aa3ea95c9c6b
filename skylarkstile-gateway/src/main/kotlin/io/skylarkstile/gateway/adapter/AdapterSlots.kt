/*
 * Tracks the adapter slots of one target on the instance that gives it orders. Every order carries the number of orders that the target is
 * expected to have accepted. An order whose answer was lost therefore either shows in that number or is refused once a later order has been
 * accepted. Until the outcome is known its slot counts as taken.
 */
package io.skylarkstile.gateway.adapter

import io.skylarkstile.core.placement.IdleHandle
import io.skylarkstile.core.placement.Popularity
import io.skylarkstile.core.placement.chooseVictim
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.target.AdapterPhase

/** Maximum number of adapters that one target loads at the same time. */
private const val MAX_CONCURRENT_LOADS = 4

/** Time after which a call's request for an adapter expires unless it is repeated, in milliseconds. */
private const val REQUEST_TTL_MS = 400L

/** Expected load time when the target held the adapter recently, and when it is read from the weight store, in milliseconds. */
private const val WARM_LOAD_MS = 30L
private const val COLD_LOAD_MS = 255L

/** Number of most recently loaded adapters that a target is assumed to keep cached, so that loading one of them again is fast. */
private const val MAX_CACHED_ADAPTERS = 64

/** Outcome of an order to a target. */
enum class OrderOutcome {
    /** The target is carrying out the order. */
    Accepted,

    /** The requested state is already reached. */
    Done,

    /** Another order is in progress, or the expected number of orders doesn't match. */
    Conflict,

    /** The target can't carry out the order. */
    Rejected,

    /** There was no answer; the target may still carry out the order later. */
    Unknown,
}

/** State that a target reports of itself, with the number of orders it has accepted. */
data class TargetReport(
    val acceptedOrders: Long,
    val models: Set<String>,
    /** True while a base model is being loaded. */
    val isBusy: Boolean,
    val present: Set<AdapterVersion>,
    val loading: Set<AdapterVersion>,
)

/** Tracks the slots of one target and picks the next order. Not thread-safe. */
class AdapterSlots(
    /** Number of adapters that the target holds; changes with the configuration and with the base models beside them. */
    var capacity: Int,
    private val popularity: Popularity,
) {
    private class Slot(
        var readyAt: Long?,
        var usedAt: Long,
    ) {
        /** Time from which the unload order may be sent or repeated; once this is set, no new calls are sent to the adapter. */
        var unloadAt: Long? = null

        /** True after the target accepted the unload and waits for running calls to end; it accepts no other order until then. */
        var isUnloading = false
        var checks = 0
    }

    private class AdapterRequest(
        val since: Long,
        var until: Long,
    )

    private val occupied = LinkedHashMap<AdapterVersion, Slot>()
    private val requests = LinkedHashMap<AdapterVersion, AdapterRequest>()
    private val cachedOnTarget = LinkedHashSet<AdapterVersion>()
    private var modelCheckAt: Long? = null
    private var modelChecks = 0

    /** Base models loaded on the target. */
    var models: Set<String> = emptySet()
        private set

    /** Number of orders that the target has accepted, or null if unknown, in which case a report is needed. */
    var orders: Long? = null
        private set

    /** True if the target must be requested to report before the next order. */
    val needsReport: Boolean get() = orders == null

    /** Time at which the next order is due if there is no new request, or null if none is. */
    val nextDueAt: Long?
        get() =
            modelCheckAt ?: pendingUnloadOrNull()?.value?.unloadAt ?: occupied.values.mapNotNull { it.readyAt ?: it.unloadAt }.minOrNull()
    val isModelLoading: Boolean get() = modelCheckAt != null
    val requestCount: Int get() = requests.size
    val freeSlots: Int get() = capacity - occupied.size

    /** Returns the phases of the adapters that calls may use; those about to be unloaded are left out. */
    fun phases(): Map<AdapterVersion, AdapterPhase> = occupied
        .filterValues { it.unloadAt == null }
        .mapValues { (_, slot) -> slot.readyAt?.let { AdapterPhase.Loading(it) } ?: AdapterPhase.Present }

    /** Records that a call waits for [adapter] or starts to use it. */
    fun request(
        adapter: AdapterVersion,
        now: Long,
    ) {
        val slot = occupied[adapter]
        if (slot == null) {
            requests.getOrPut(adapter) { AdapterRequest(now, now) }.until = now + REQUEST_TTL_MS
            return
        }
        slot.usedAt = now
        if (!slot.isUnloading) slot.unloadAt = null
    }

    /** Replaces the tracked state by a [report]. */
    fun report(
        report: TargetReport,
        now: Long,
    ) {
        orders = report.acceptedOrders
        models = report.models
        modelCheckAt = if (report.isBusy) now + MODEL_CHECK_INTERVAL_MS else null
        modelChecks = 0
        occupied.keys.retainAll(report.present + report.loading)
        report.present.forEach { adapter ->
            val slot = occupied.getOrPut(adapter) { Slot(null, now) }
            slot.readyAt = null
            // If an unload order was lost, it is sent again.
            slot.isUnloading = false
        }
        report.loading.forEach { occupied.getOrPut(it) { Slot(now + COLD_LOAD_MS, now) } }
    }

    /** Requires a report, because the number of orders that the target has accepted is unknown. */
    private fun requireReport() {
        orders = null
    }

    /**
     * Returns the next order to send, or null. [inUse] tells whether calls of any instance use an adapter, [isCurrent] whether calls still
     * request that version. [model] is the base model that the target must have, or null if it needs no other one.
     */
    fun nextOrNull(
        now: Long,
        model: String?,
        inUse: (AdapterVersion) -> Boolean,
        isCurrent: (AdapterVersion) -> Boolean,
    ): TargetOrder? {
        if (orders == null) return null
        requests.values.removeIf { it.until < now }
        if (model != null && model !in models) return TargetOrder.LoadModel(model).takeIf { now >= (modelCheckAt ?: now) }
        pendingUnloadOrNull()?.let { (adapter, slot) -> return AdapterOrder.Unload(adapter).takeIf { now >= (slot.unloadAt ?: now) } }
        dueLoadCheckOrNull(now, isCurrent)?.let { return it }
        if (orders == null) return null
        dueUnloadOrNull(now, inUse)?.let { return it }
        val wanted = requests.keys.maxByOrNull { popularity.rate("$it", now) }
        scheduleEviction(now, inUse, isCurrent, wanted)
        if (wanted == null || occupied.size >= capacity || occupied.values.count { it.readyAt != null } >= MAX_CONCURRENT_LOADS) return null
        return AdapterOrder.Load(wanted)
    }

    private fun pendingUnloadOrNull() = occupied.entries.firstOrNull { it.value.isUnloading }

    private fun dueLoadCheckOrNull(
        now: Long,
        isCurrent: (AdapterVersion) -> Boolean,
    ): AdapterOrder? {
        val due = occupied.entries.firstOrNull { (it.value.readyAt ?: Long.MAX_VALUE) <= now } ?: return null
        if (isCurrent(due.key)) return AdapterOrder.Check(due.key)
        // A newer version was announced during the load. Repeating the order would load that one, so a report must show what was loaded.
        requireReport()
        return null
    }

    private fun dueUnloadOrNull(
        now: Long,
        inUse: (AdapterVersion) -> Boolean,
    ): AdapterOrder? {
        val due = occupied.entries.firstOrNull { (it.value.unloadAt ?: Long.MAX_VALUE) <= now } ?: return null
        if (!inUse(due.key)) return AdapterOrder.Unload(due.key)
        due.value.unloadAt = null
        return null
    }

    /** Schedules an unload so that a slot is free before it is needed; a call then only waits for the load. */
    private fun scheduleEviction(
        now: Long,
        inUse: (AdapterVersion) -> Boolean,
        isCurrent: (AdapterVersion) -> Boolean,
        wanted: AdapterVersion?,
    ) {
        val free = capacity - occupied.size + occupied.values.count { it.unloadAt != null }
        if (free >= minOf(SPARE_SLOTS + requests.size, MAX_CONCURRENT_LOADS)) return
        val since = wanted?.let { requests.getValue(it).since } ?: now
        victimOrNull(now, inUse, isCurrent, since)?.let { occupied.getValue(it).unloadAt = now + UNLOAD_NOTICE_MS }
    }

    private fun victimOrNull(
        now: Long,
        inUse: (AdapterVersion) -> Boolean,
        isCurrent: (AdapterVersion) -> Boolean,
        waitingSince: Long,
    ): AdapterVersion? {
        val unused =
            occupied.filter { (adapter, slot) ->
                slot.readyAt == null && slot.unloadAt == null && adapter !in requests && !inUse(adapter)
            }
        val longUnused = unused.filterValues { now - it.usedAt >= USE_REPORT_DELAY_MS }
        // While all slots are in constant use, a rarely requested adapter would otherwise never be loaded. An adapter that was used just now
        // may still be in use, and the target takes no other order until those calls have ended.
        val idle = longUnused.ifEmpty { if (now - waitingSince < LONG_WAIT_MS) emptyMap() else unused }
        val handles =
            idle.map { (adapter, slot) ->
                IdleHandle("$adapter", isCurrent(adapter), popularity.rate("$adapter", now), slot.usedAt)
            }
        val victim = chooseVictim(handles, WARM_LOAD_MS, now - waitingSince).handleOrNull ?: return null
        return idle.keys.first { "$it" == victim }
    }

    /** Applies the outcome of [order]. */
    fun applyOutcome(
        order: TargetOrder,
        outcome: OrderOutcome,
        now: Long,
    ) = when (order) {
        is TargetOrder.LoadModel -> applyModelOutcome(order, outcome, now)
        is AdapterOrder -> applyAdapterOutcome(order, outcome, now)
    }

    private fun applyModelOutcome(
        order: TargetOrder.LoadModel,
        outcome: OrderOutcome,
        now: Long,
    ) {
        val isInProgress = modelCheckAt != null
        when {
            outcome == OrderOutcome.Done -> {
                models = models + order.model
                modelCheckAt = null
            }

            outcome == OrderOutcome.Accepted && !isInProgress -> {
                orders = orders?.plus(1)
                modelChecks = 0
                modelCheckAt = now + MODEL_CHECK_INTERVAL_MS
            }

            outcome in setOf(OrderOutcome.Accepted, OrderOutcome.Conflict) && isInProgress && modelChecks++ < MAX_MODEL_CHECKS -> {
                modelCheckAt = now + MODEL_CHECK_INTERVAL_MS
            }

            else -> {
                requireReport()
            }
        }
    }

    private fun applyAdapterOutcome(
        order: AdapterOrder,
        outcome: OrderOutcome,
        now: Long,
    ) {
        when (outcome) {
            OrderOutcome.Accepted -> applyAccepted(order, now)
            OrderOutcome.Done -> applyDone(order, now)
            OrderOutcome.Conflict -> applyConflict(order, now)
            OrderOutcome.Rejected -> applyRejected(order)
            OrderOutcome.Unknown -> applyUnknown(order, now)
        }
    }

    private fun applyAccepted(
        order: AdapterOrder,
        now: Long,
    ) {
        when (order) {
            is AdapterOrder.Load -> {
                orders = orders?.plus(1)
                requests.remove(order.adapter)
                val loadMs = if (order.adapter in cachedOnTarget) WARM_LOAD_MS else COLD_LOAD_MS
                occupied[order.adapter] = Slot(now + loadMs, now)
            }

            is AdapterOrder.Unload -> {
                val slot = occupied[order.adapter] ?: return requireReport()
                if (slot.isUnloading) return retryUnload(slot, now)
                orders = orders?.plus(1)
                slot.isUnloading = true
                slot.checks = 0
                slot.unloadAt = now + CHECK_INTERVAL_MS
            }

            is AdapterOrder.Check -> {
                scheduleCheck(order, now)
            }
        }
    }

    private fun applyDone(
        order: AdapterOrder,
        now: Long,
    ) {
        if (order is AdapterOrder.Unload) {
            val slot = occupied.remove(order.adapter)
            if (slot?.isUnloading != true) orders = orders?.plus(1)
            return
        }
        requests.remove(order.adapter)
        val slot = occupied.getOrPut(order.adapter) { Slot(null, now) }
        slot.readyAt = null
        slot.usedAt = now
        cachedOnTarget.remove(order.adapter)
        cachedOnTarget.add(order.adapter)
        if (cachedOnTarget.size > MAX_CACHED_ADAPTERS) cachedOnTarget.remove(cachedOnTarget.first())
    }

    /** A load still in progress answers with the same conflict as a wrong order number, so a report is required after some tries. */
    private fun applyConflict(
        order: AdapterOrder,
        now: Long,
    ) {
        val slot = occupied[order.adapter]
        when {
            slot != null && slot.isUnloading -> retryUnload(slot, now)
            order is AdapterOrder.Check && slot != null && slot.checks++ < MAX_CHECKS -> scheduleCheck(order, now)
            else -> requireReport()
        }
    }

    /** Schedules the unload order again until the calls running on the adapter have ended. */
    private fun retryUnload(
        slot: Slot,
        now: Long,
    ) {
        if (slot.checks++ < MAX_UNLOAD_CHECKS) slot.unloadAt = now + CHECK_INTERVAL_MS else requireReport()
    }

    private fun applyRejected(order: AdapterOrder) {
        requests.remove(order.adapter)
        occupied.remove(order.adapter)
        requireReport()
    }

    /** A lost load may still take a slot and a lost unload may still free one, so the slot counts as taken but isn't offered to calls. */
    private fun applyUnknown(
        order: AdapterOrder,
        now: Long,
    ) {
        if (order is AdapterOrder.Load) occupied[order.adapter] = Slot(now + COLD_LOAD_MS, now)
        requireReport()
    }

    private fun scheduleCheck(
        order: AdapterOrder,
        now: Long,
    ) {
        occupied[order.adapter]?.readyAt = now + CHECK_INTERVAL_MS
    }

    private companion object {
        /** Interval between checks of a load or an unload in progress, in milliseconds. */
        const val CHECK_INTERVAL_MS = 40L
        const val MAX_CHECKS = 5

        /** Running calls end within seconds; after this many checks of an unload a report is required. */
        const val MAX_UNLOAD_CHECKS = 100

        /** Time within which the other instances report that their calls use an adapter, in milliseconds. */
        const val USE_REPORT_DELAY_MS = 400L

        /** A request that waits longer may evict an adapter whose use by other instances may be unreported so far, in milliseconds. */
        const val LONG_WAIT_MS = 200L

        /** Interval in milliseconds and maximum number of checks of a base model load, which takes seconds. */
        const val MODEL_CHECK_INTERVAL_MS = 250L
        const val MAX_MODEL_CHECKS = 60

        /** Number of slots that are kept free. */
        const val SPARE_SLOTS = 1

        /** Notice that the other instances get before an adapter is unloaded, in milliseconds. */
        const val UNLOAD_NOTICE_MS = 25L
    }
}
