/*
 * Gives orders to the targets that this instance holds: one order at a time to each target, as the target's book and the lease allow.
 */
package io.skylarkstile.gateway.adapter

import io.github.oshai.kotlinlogging.KotlinLogging
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

    /** Returns the places of a target of [service], or 0 where it has no engine. */
    fun adapterCapacity(service: String): Int
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
    private val onChange: (TargetState) -> Unit,
) {
    private inner class Held(
        val target: TargetState,
        capacity: Int,
    ) {
        val book = AdapterBook(capacity, popularity)
        var isBusy = false
        var reportAt = 0L
        var timer: Timer? = null
    }

    private val held = HashMap<String, Held>()

    /** Returns the ids of the targets that can be ordered now. */
    fun orderable(now: Long): List<TargetState> = held.values.map { it.target }.filter { lease.tokenOrNull(it.id, now) != null }

    /** Follows changes of the targets and of the lease, and continues what waits. Called regularly. */
    fun refresh() {
        val now = scheduler.now()
        val wanted = targets.all.filter { lease.isHolder(it.id) && fleet.adapterCapacity(it.entry.service) > 0 }
        held.values.filter { known -> wanted.none { it === known.target } }.forEach { drop(it) }
        wanted.forEach { target ->
            val known = held.getOrPut(target.id) { Held(target, fleet.adapterCapacity(target.entry.service)) }
            if (lease.tokenOrNull(target.id, now) != null) target.orderableUntil = now + ORDERABLE_MS
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
        val token = lease.tokenOrNull(known.target.id, now) ?: return
        if (!known.target.entry.isReady) return
        if (known.book.needsReport) return report(known, now)
        val next = known.book.nextOrNull(now, { fleet.isInUse(known.target, it) }, { fleet.current(it.name) == it })
        if (known.target.adapters != known.book.phases()) publish(known)
        if (next == null) return sleep(known, now)
        known.isBusy = true
        val stamp = OrderStamp(name, token, checkNotNull(known.book.orders))
        orders.order(known.target.entry, next, stamp) { outcome ->
            known.isBusy = false
            if (outcome != OrderOutcome.Accepted && outcome != OrderOutcome.Done) {
                log.info { "order target=${known.target.id} order=$next expected=${stamp.expected} token=$token outcome=$outcome" }
            }
            known.book.answered(next, outcome, scheduler.now())
            if (known.book.needsReport) known.reportAt = scheduler.now() + REPORT_DELAY_MS
            publish(known)
            pump(known)
        }
    }

    private fun report(
        known: Held,
        now: Long,
    ) {
        if (now < known.reportAt) return wake(known, known.reportAt - now)
        known.isBusy = true
        orders.report(known.target.entry) { report ->
            known.isBusy = false
            if (report == null) {
                known.reportAt = scheduler.now() + REPORT_DELAY_MS
            } else {
                known.book.report(report, scheduler.now())
                publish(known)
            }
            pump(known)
        }
    }

    private fun publish(known: Held) {
        known.target.adapters = known.book.phases()
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
            known.book.hasWishes -> wake(known, IDLE_LOOK_MS)
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
