/*
 * Gives orders to the targets that this instance holds: one order at a time to each target, as the target's book and the lease allow.
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

/** A report shows the state of some hundred milliseconds before, so it is asked for this long after an order with unknown outcome. */
private const val REPORT_DELAY_MS = 350L

/** The rate of the weight store is kept in windows of this length, in milliseconds. */
const val MODEL_WINDOW_MS = 5_000L

/** A target whose book waits for reports this long isn't offered for loads, in milliseconds. */
private const val TROUBLED_MS = 900L

/** Own targets count as orderable for this long after the lease was seen valid, in milliseconds. */
private const val ORDERABLE_MS = 1_500L

/** Tells what the holder needs to know of the fleet. */
interface FleetView {
    /** Returns whether any instance has calls that use [adapter] on [target]. */
    fun isInUse(
        target: TargetState,
        adapter: AdapterVersion,
    ): Boolean

    /** Returns the version of [name] that calls run on. */
    fun current(name: AdapterName): AdapterVersion

    /** Returns the base model that [target], which has [held], should load, or null when it needs none. */
    fun missingModelOrNull(
        target: TargetState,
        held: Set<String>,
    ): String?

    /** Returns how many loads of base models this instance may begin in [MODEL_WINDOW_MS] for targets of [service]. */
    fun modelLoads(service: String): Int

    /** Returns the places of a target of [service], or 0 where it has no engine. */
    fun adapterCapacity(service: String): Int

    /** Notices that this process stood still, before the right to give an order is looked at. */
    fun noticeSuspension() = Unit
}

/** Orders the held targets for the instance [name]; [onChange] is called with a target whose adapters have changed. Not thread-safe. */
class AdapterHolder(
    private val name: String,
    private val lease: OrderLease,
    private val targets: TargetTable,
    private val orders: TargetOrders,
    private val fleet: FleetView,
    private val popularity: Popularity,
    private val scheduler: Scheduler,
    private val onOrder: (OrderOutcome) -> Unit = {},
    private val onChange: (TargetState) -> Unit,
) {
    private inner class Held(
        val target: TargetState,
        capacity: Int,
    ) {
        val book = AdapterBook(capacity, popularity)
        var isBusy = false
        var reportAt = 0L
        var doubtfulSince: Long? = null
        var wasReported = false
        var timer: Timer? = null

        /** Returns whether loads can be expected to begin at once. */
        fun isOrderable(now: Long): Boolean {
            val isTroubled =
                (doubtfulSince?.let { now - it > TROUBLED_MS } ?: false) || fleet.missingModelOrNull(target, book.models) != null
            return !isTroubled && lease.tokenOrNull(target.id, now) != null
        }
    }

    private val held = HashMap<String, Held>()
    private val modelLoads = ArrayDeque<Long>()

    /** Returns the held targets whose adapters are known. */
    fun known(): List<TargetState> = held.values.filter { it.wasReported }.map { it.target }

    /** Returns whether this instance holds [targetId] and so knows its adapters itself. */
    fun isHeld(targetId: String): Boolean = held[targetId]?.wasReported ?: false

    /** Follows changes of the targets and of the lease, and continues what waits. Called regularly. */
    fun refresh() {
        val now = scheduler.now()
        val wanted = targets.all.filter { lease.isHolder(it.id) && fleet.adapterCapacity(it.entry.service) > 0 }
        held.values.filter { known -> wanted.none { it === known.target } }.forEach { drop(it) }
        wanted.forEach { target ->
            val known = held.getOrPut(target.id) { Held(target, fleet.adapterCapacity(target.entry.service)) }
            if (known.isOrderable(now)) target.orderableUntil = now + ORDERABLE_MS
            pump(known)
        }
    }

    /** Takes the wish of a call for [adapter] on [targetId]; returns false when this instance doesn't order that target. */
    fun wish(
        targetId: String,
        adapter: AdapterVersion,
    ): Boolean {
        val known = held[targetId] ?: return false
        known.book.wish(adapter, scheduler.now())
        pump(known)
        return true
    }

    private fun drop(known: Held) {
        known.timer?.cancel()
        held.remove(known.target.id)
    }

    private fun pump(known: Held) {
        if (known.isBusy || held[known.target.id] !== known) return
        val now = scheduler.now()
        if (!known.target.entry.isReady) return
        // Reports are read before orders may be given, so that calls find what is there.
        if (known.book.needsReport) return report(known, now)
        fleet.noticeSuspension()
        val token = lease.tokenOrNull(known.target.id, now) ?: return
        val next = nextOrNull(known, now)
        // Publishing lets waiting calls look again, which may come back here, so the target counts as busy first.
        known.isBusy = next != null
        if (known.target.adapters != known.book.phases()) publish(known)
        if (next == null) return sleep(known, now)
        val stamp = OrderStamp(name, token, checkNotNull(known.book.orders))
        orders.order(known.target.entry, next, stamp) { outcome ->
            log.event(
                Level.INFO,
                "order-ended",
                "target" to known.target.id,
                "order" to "$next",
                "expected" to stamp.expected,
                "token" to token,
                "outcome" to "$outcome",
                "wishes" to known.book.wishCount,
                "freePlaces" to known.book.freePlaces,
            ) { "order ended" }
            onOrder(outcome)
            known.book.answered(next, outcome, scheduler.now())
            if (known.book.needsReport) doubted(known) else known.doubtfulSince = null
            publish(known)
            known.isBusy = false
            pump(known)
        }
    }

    private fun nextOrNull(
        known: Held,
        now: Long,
    ): TargetOrder? {
        val target = known.target
        val model = fleet.missingModelOrNull(target, known.book.models)
        val next = known.book.nextOrNull(now, model, { fleet.isInUse(target, it) }, { fleet.current(it.name) == it })
        if (next !is TargetOrder.LoadModel || known.book.isModelUnderWay) return next
        // Beyond the rate of the weight store a load of a base model waits.
        while (modelLoads.isNotEmpty() && modelLoads.first() <= now - MODEL_WINDOW_MS) modelLoads.removeFirst()
        if (modelLoads.size >= fleet.modelLoads(target.entry.service)) return null
        modelLoads.addLast(now)
        log.event(Level.INFO, "model-load", "target" to target.id, "model" to next.model) { "target started without a base model" }
        return next
    }

    private fun doubted(known: Held) {
        val now = scheduler.now()
        known.reportAt = now + REPORT_DELAY_MS
        if (known.doubtfulSince == null) known.doubtfulSince = now
    }

    private fun report(
        known: Held,
        now: Long,
    ) {
        if (now < known.reportAt) return wake(known, known.reportAt - now)
        known.isBusy = true
        orders.report(known.target.entry) { report ->
            if (report == null) {
                known.reportAt = scheduler.now() + REPORT_DELAY_MS
            } else {
                known.wasReported = true
                known.book.report(report, scheduler.now())
                publish(known)
            }
            known.isBusy = false
            pump(known)
        }
    }

    private fun publish(known: Held) {
        known.target.adapters = known.book.phases()
        known.target.models = known.book.models
        onChange(known.target)
    }

    private fun sleep(
        known: Held,
        now: Long,
    ) {
        val dueAt = known.book.nextDueAt
        when {
            known.book.needsReport -> wake(known, REPORT_DELAY_MS)
            dueAt != null -> wake(known, (dueAt - now).coerceIn(1, IDLE_LOOK_MS))
            known.book.wishCount > 0 || fleet.missingModelOrNull(known.target, known.book.models) != null -> wake(known, IDLE_LOOK_MS)
        }
    }

    private fun wake(
        known: Held,
        delayMs: Long,
    ) {
        known.timer?.cancel()
        known.timer = scheduler.after(delayMs) { pump(known) }
    }

    private companion object {
        /** Wishes that found no place are looked at again after this time, in milliseconds. */
        const val IDLE_LOOK_MS = 40L
    }
}
