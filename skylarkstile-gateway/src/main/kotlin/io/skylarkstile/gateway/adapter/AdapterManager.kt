/*
 * Gives orders to the targets that this instance holds, one at a time to each target, as the target's adapter slots and the lease
 * allow.
 */
package io.skylarkstile.gateway.adapter

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.core.placement.Popularity
import io.skylarkstile.gateway.main.Scheduler
import io.skylarkstile.gateway.main.Timer
import io.skylarkstile.gateway.membership.OrderLease
import io.skylarkstile.gateway.model.AdapterName
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.target.TargetState
import io.skylarkstile.gateway.target.TargetTable

private val log = KotlinLogging.logger {}

/** Time from an order of unknown outcome to the report, in milliseconds: reports lag by some hundred milliseconds. */
private const val REPORT_DELAY_MS = 350L

/** Length of the sliding window in which base model loads are limited to the rate of the weight store, in milliseconds. */
const val MODEL_LOAD_WINDOW_MS = 5_000L

/** Time without the needed report after which a target isn't offered for loads any more, in milliseconds. */
private const val MAX_REPORT_WAIT_MS = 900L

/** Time for which a held target counts as orderable after the lease was found valid, in milliseconds. */
private const val ORDERABLE_TTL_MS = 1_500L

/** Provides the fleet state that the holder of a target needs. */
interface FleetView {
    /** Returns whether calls of any instance use [adapter] on [target]. */
    fun isInUse(
        target: TargetState,
        adapter: AdapterVersion,
    ): Boolean

    /** Returns the version of [name] that calls use. */
    fun currentVersion(name: AdapterName): AdapterVersion

    /** Returns the base model that [target], which has the models [held], must load, or null if it needs none. */
    fun missingModelOrNull(
        target: TargetState,
        held: Set<String>,
    ): String?

    /** Returns how many base model loads this instance may start in [MODEL_LOAD_WINDOW_MS] for targets of [service]. */
    fun maxModelLoads(service: String): Int

    /** Returns the number of adapter slots of a target of [service] beside the base models [held], or 0 if the service has no engine. */
    fun adapterCapacity(
        service: String,
        held: Set<String>,
    ): Int

    /** Returns whether the targets of [service] have adapter slots. */
    fun hasAdapters(service: String): Boolean

    /** Checks whether this process was suspended; called before the lease is checked for an order. */
    fun checkSuspension() = Unit
}

/** Gives orders to held targets on behalf of the instance [name]; [onChange] receives targets whose adapters changed. Not thread-safe. */
class AdapterManager(
    private val name: String,
    private val lease: OrderLease,
    private val targets: TargetTable,
    private val client: TargetClient,
    private val fleet: FleetView,
    private val popularity: Popularity,
    private val scheduler: Scheduler,
    private val onOrder: (OrderOutcome) -> Unit = {},
    private val onChange: (TargetState) -> Unit,
) {
    private inner class HeldTargetState(
        val target: TargetState,
    ) {
        val slots = AdapterSlots(capacityOf(target, target.models), popularity)
        var isBusy = false
        var reportAt = 0L
        var reportNeededSince: Long? = null
        var hasReported = false
        var timer: Timer? = null

        /** Returns whether a load can be expected to start at once. */
        fun isOrderable(now: Long): Boolean {
            val isUnavailable =
                (reportNeededSince?.let { now - it > MAX_REPORT_WAIT_MS } ?: false) ||
                    slots.capacity == 0 ||
                    fleet.missingModelOrNull(target, slots.models) != null
            return !isUnavailable && lease.tokenOrNull(target.id, now) != null
        }
    }

    private val held = HashMap<String, HeldTargetState>()
    private val modelLoads = ArrayDeque<Long>()

    /** Returns the held targets that have reported their adapters. */
    fun known(): List<TargetState> = held.values.filter { it.hasReported }.map { it.target }

    /** Returns whether this instance holds [targetId] and has a report of its adapters. */
    fun isHeld(targetId: String): Boolean = held[targetId]?.hasReported ?: false

    /** Applies changes of the targets and of the lease, and sends due orders. Called periodically. */
    fun refresh() {
        val now = scheduler.now()
        val wanted = targets.all.filter { lease.isHolder(it.id) && fleet.hasAdapters(it.entry.service) }
        held.values.filter { state -> wanted.none { it === state.target } }.forEach { release(it) }
        wanted.forEach { target ->
            val state = held.getOrPut(target.id) { HeldTargetState(target) }
            if (state.isOrderable(now)) target.orderableUntil = now + ORDERABLE_TTL_MS
            sendNext(state)
        }
    }

    /** Records the request of a call for [adapter] on [targetId]. Returns false if this instance doesn't give orders to that target. */
    fun requestAdapter(
        targetId: String,
        adapter: AdapterVersion,
    ): Boolean {
        val state = held[targetId] ?: return false
        state.slots.request(adapter, scheduler.now())
        sendNext(state)
        return true
    }

    private fun capacityOf(
        target: TargetState,
        models: Set<String>,
    ): Int = fleet.adapterCapacity(target.entry.service, models)

    private fun release(state: HeldTargetState) {
        state.timer?.cancel()
        held.remove(state.target.id)
    }

    private fun sendNext(state: HeldTargetState) {
        if (state.isBusy || held[state.target.id] !== state) return
        val now = scheduler.now()
        if (!state.target.acceptsCalls) return
        // Reports are read even before the lease permits orders, so that calls can use the adapters already present.
        if (state.slots.needsReport) return report(state, now)
        fleet.checkSuspension()
        val token = lease.tokenOrNull(state.target.id, now) ?: return
        val next = nextOrNull(state, now)
        // Publishing wakes waiting calls, which may call this function again, so the target is marked as busy first.
        state.isBusy = next != null
        if (state.target.adapters != state.slots.phases()) publish(state)
        if (next == null) return scheduleNext(state, now)
        val precondition = OrderPrecondition(name, token, checkNotNull(state.slots.orders))
        client.order(state.target.entry, next, precondition) { outcome ->
            log.event(
                Level.INFO,
                "order-ended",
                "target" to state.target.id,
                "order" to "$next",
                "expected" to precondition.expected,
                "token" to token,
                "outcome" to "$outcome",
                "wishes" to state.slots.requestCount,
                "freePlaces" to state.slots.freeSlots,
            ) { "order ended" }
            onOrder(outcome)
            state.slots.applyOutcome(next, outcome, scheduler.now())
            if (state.slots.needsReport) scheduleReport(state, sentAt = now) else state.reportNeededSince = null
            publish(state)
            state.isBusy = false
            sendNext(state)
        }
    }

    private fun nextOrNull(
        state: HeldTargetState,
        now: Long,
    ): TargetOrder? {
        val target = state.target
        val model = fleet.missingModelOrNull(target, state.slots.models)
        updateCapacity(state)
        val next = state.slots.nextOrNull(now, model, { fleet.isInUse(target, it) }, { fleet.currentVersion(it.name) == it })
        if (next !is TargetOrder.LoadModel || state.slots.isModelLoading) return next
        // Base model loads beyond the rate of the weight store wait.
        while (modelLoads.isNotEmpty() && modelLoads.first() <= now - MODEL_LOAD_WINDOW_MS) modelLoads.removeFirst()
        if (modelLoads.size >= fleet.maxModelLoads(target.entry.service)) return null
        modelLoads.addLast(now)
        log.event(Level.INFO, "model-load", "target" to target.id, "model" to next.model) { "loading a missing base model" }
        return next
    }

    private fun updateCapacity(state: HeldTargetState) {
        val capacity = capacityOf(state.target, state.slots.models)
        if (capacity == state.slots.capacity) return
        log.event(Level.INFO, "adapter-capacity", "target" to state.target.id, "before" to state.slots.capacity, "now" to capacity) {
            "the number of adapters that the target holds has changed"
        }
        state.slots.capacity = capacity
    }

    /** Schedules the report that shows what became of an order of [sentAt]. The target's other orders wait for it. */
    private fun scheduleReport(
        state: HeldTargetState,
        sentAt: Long,
    ) {
        val now = scheduler.now()
        state.reportAt = maxOf(now, sentAt + REPORT_DELAY_MS)
        if (state.reportNeededSince == null) state.reportNeededSince = now
    }

    private fun report(
        state: HeldTargetState,
        now: Long,
    ) {
        if (now < state.reportAt) return sendAfter(state, state.reportAt - now)
        state.isBusy = true
        client.report(state.target.entry) { report ->
            if (report == null) {
                state.reportAt = scheduler.now() + REPORT_DELAY_MS
            } else {
                state.hasReported = true
                state.slots.report(report, scheduler.now())
                publish(state)
            }
            state.isBusy = false
            sendNext(state)
        }
    }

    private fun publish(state: HeldTargetState) {
        state.target.adapters = state.slots.phases()
        state.target.models = state.slots.models
        onChange(state.target)
    }

    private fun scheduleNext(
        state: HeldTargetState,
        now: Long,
    ) {
        val dueAt = state.slots.nextDueAt
        when {
            state.slots.needsReport -> sendAfter(state, REPORT_DELAY_MS)
            dueAt != null -> sendAfter(state, (dueAt - now).coerceIn(1, POLL_MS))
            state.slots.requestCount > 0 || fleet.missingModelOrNull(state.target, state.slots.models) != null -> sendAfter(state, POLL_MS)
        }
    }

    private fun sendAfter(
        state: HeldTargetState,
        delayMs: Long,
    ) {
        state.timer?.cancel()
        state.timer = scheduler.after(delayMs) { sendNext(state) }
    }

    private companion object {
        /** Interval at which requests without a free slot and pending orders are looked at again, in milliseconds. */
        const val POLL_MS = 40L
    }
}
