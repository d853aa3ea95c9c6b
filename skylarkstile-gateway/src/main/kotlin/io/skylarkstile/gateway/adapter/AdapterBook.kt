/*
 * The adapter places of one target, as the holder of its orders keeps them. Every order carries the number of orders that the target is
 * expected to have accepted, so an order whose answer is lost either shows in that number or can't be carried out any more once a later
 * one was accepted. Until that is settled the place counts as taken.
 */
package io.skylarkstile.gateway.adapter

import io.skylarkstile.core.placement.IdleHandle
import io.skylarkstile.core.placement.Popularity
import io.skylarkstile.core.placement.chooseVictim
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.target.AdapterPhase

/** Adapters that may be on their way to one target at the same time. */
private const val LOADS_AT_ONCE = 4

/** Wanted adapters are forgotten after this time without a repeated wish, in milliseconds. */
private const val WISH_MS = 400L

/** Time that a load takes when the target held the adapter lately, and when it comes from the store, in milliseconds. */
private const val WARM_LOAD_MS = 30L
private const val COLD_LOAD_MS = 255L

/** How long a target is assumed to keep an adapter at hand after it was unloaded, counted in adapters unloaded since. */
private const val KEPT_AT_HAND = 64

/** One order to a target. */
sealed interface AdapterOrder {
    val adapter: AdapterVersion

    data class Load(
        override val adapter: AdapterVersion,
    ) : AdapterOrder

    data class Unload(
        override val adapter: AdapterVersion,
    ) : AdapterOrder

    /** Asks whether a load has ended, by repeating it: an order that holds already changes nothing. */
    data class Check(
        override val adapter: AdapterVersion,
    ) : AdapterOrder
}

/** What a target answered to an order. */
enum class OrderOutcome {
    /** It is being carried out. */
    Accepted,

    /** It holds already. */
    Done,

    /** Another order is under way, or the expected number of orders differs. */
    Conflict,

    /** The order can't be carried out as it is. */
    Rejected,

    /** No answer: the order may be carried out later. */
    Unknown,
}

/** What a target reports of itself. */
data class TargetReport(
    val orders: Long,
    val present: Set<AdapterVersion>,
    val loading: Set<AdapterVersion>,
)

/** Keeps the places of one target with room for [capacity] adapters. Not thread-safe. */
class AdapterBook(
    private val capacity: Int,
    private val popularity: Popularity,
) {
    private class Place(
        var readyAt: Long?,
        var usedAt: Long,
    ) {
        /** Set while runs still hold an adapter that was told to leave. */
        var isLeaving = false
    }

    private class Wish(
        val since: Long,
        var until: Long,
    )

    private val places = LinkedHashMap<AdapterVersion, Place>()
    private val wishes = LinkedHashMap<AdapterVersion, Wish>()
    private val atHand = LinkedHashSet<AdapterVersion>()

    /** Number of orders that the target has accepted, or null when a report is needed. */
    var orders: Long? = null
        private set

    /** Returns whether the target has to be asked for a report before the next order. */
    val needsReport: Boolean get() = orders == null

    /** Returns the earliest expected end of a load, or null when none runs. */
    val nextReadyAt: Long? get() = places.values.mapNotNull { it.readyAt }.minOrNull()
    val hasWishes: Boolean get() = wishes.isNotEmpty()

    /** Returns all adapters with their phases. */
    fun phases(): Map<AdapterVersion, AdapterPhase> = places
        .filterValues { !it.isLeaving }
        .mapValues { (_, place) -> place.readyAt?.let { AdapterPhase.Loading(it) } ?: AdapterPhase.Present }

    /** Notes that a call waits for [adapter]. Returns false when it is there already. */
    fun wish(
        adapter: AdapterVersion,
        now: Long,
    ): Boolean {
        val place = places[adapter]
        if (place != null) {
            place.usedAt = now
            return place.readyAt != null
        }
        wishes.getOrPut(adapter) { Wish(now, now) }.until = now + WISH_MS
        return true
    }

    /** Notes that [adapter] is in use. */
    fun used(
        adapter: AdapterVersion,
        now: Long,
    ) {
        places[adapter]?.usedAt = now
    }

    /** Replaces what is believed by a [report]. */
    fun report(
        report: TargetReport,
        now: Long,
    ) {
        orders = report.orders
        places.keys.retainAll(report.present + report.loading)
        report.present.forEach { places.getOrPut(it) { Place(null, now) }.readyAt = null }
        report.loading.forEach { places.getOrPut(it) { Place(now + COLD_LOAD_MS, now) } }
    }

    /** Forgets what is believed, because the target restarted or its number of orders isn't known. */
    fun doubt() {
        orders = null
    }

    /**
     * Returns the next order to send, or null. [inUse] tells whether any instance has calls on an adapter; [isCurrent] whether calls still
     * ask for that version.
     */
    fun nextOrNull(
        now: Long,
        inUse: (AdapterVersion) -> Boolean,
        isCurrent: (AdapterVersion) -> Boolean,
    ): AdapterOrder? {
        if (orders == null) return null
        wishes.values.removeIf { it.until < now }
        places.entries.firstOrNull { (it.value.readyAt ?: Long.MAX_VALUE) <= now }?.let { return AdapterOrder.Check(it.key) }
        if (places.values.count { it.readyAt != null } >= LOADS_AT_ONCE) return null
        val wanted = wishes.keys.maxByOrNull { popularity.rate("$it", now) } ?: return null
        if (places.size < capacity) return AdapterOrder.Load(wanted)
        return victimOrNull(now, inUse, isCurrent, wishes.getValue(wanted).since)?.let { AdapterOrder.Unload(it) }
    }

    private fun victimOrNull(
        now: Long,
        inUse: (AdapterVersion) -> Boolean,
        isCurrent: (AdapterVersion) -> Boolean,
        waitingSince: Long,
    ): AdapterVersion? {
        val idle = places.filter { it.value.readyAt == null && !it.value.isLeaving && it.key !in wishes && !inUse(it.key) }
        val handles =
            idle.map { (adapter, place) ->
                IdleHandle("$adapter", isCurrent(adapter), popularity.rate("$adapter", now), place.usedAt)
            }
        val victim = chooseVictim(handles, WARM_LOAD_MS, now - waitingSince).handleOrNull ?: return null
        return idle.keys.first { "$it" == victim }
    }

    /** Applies the outcome of [order]. */
    fun answered(
        order: AdapterOrder,
        outcome: OrderOutcome,
        now: Long,
    ) {
        when (outcome) {
            OrderOutcome.Accepted -> accepted(order, now)
            OrderOutcome.Done -> done(order, now)
            OrderOutcome.Conflict -> if (order is AdapterOrder.Check) postpone(order, now) else doubt()
            OrderOutcome.Rejected -> rejected(order)
            OrderOutcome.Unknown -> unknown(order, now)
        }
    }

    private fun accepted(
        order: AdapterOrder,
        now: Long,
    ) {
        when (order) {
            is AdapterOrder.Load -> {
                orders = orders?.plus(1)
                wishes.remove(order.adapter)
                val takes = if (order.adapter in atHand) WARM_LOAD_MS else COLD_LOAD_MS
                places[order.adapter] = Place(now + takes, now)
            }

            is AdapterOrder.Unload -> {
                // Runs still hold it, so its place is free only once a report doesn't show it any more.
                places[order.adapter]?.isLeaving = true
                doubt()
            }

            is AdapterOrder.Check -> {
                postpone(order, now)
            }
        }
    }

    private fun done(
        order: AdapterOrder,
        now: Long,
    ) {
        if (order is AdapterOrder.Unload) {
            orders = orders?.plus(1)
            return remove(order.adapter)
        }
        wishes.remove(order.adapter)
        places.getOrPut(order.adapter) { Place(null, now) }.readyAt = null
        atHand.remove(order.adapter)
        atHand.add(order.adapter)
        if (atHand.size > KEPT_AT_HAND) atHand.remove(atHand.first())
    }

    private fun rejected(order: AdapterOrder) {
        wishes.remove(order.adapter)
        places.remove(order.adapter)
        doubt()
    }

    /** A lost load may still take a place, and a lost unload may still free one: the adapter counts as taken but isn't offered. */
    private fun unknown(
        order: AdapterOrder,
        now: Long,
    ) {
        if (order is AdapterOrder.Load) places[order.adapter] = Place(now + COLD_LOAD_MS, now)
        doubt()
    }

    private fun postpone(
        order: AdapterOrder,
        now: Long,
    ) {
        places[order.adapter]?.readyAt = now + CHECK_AGAIN_MS
    }

    private fun remove(adapter: AdapterVersion) {
        places.remove(adapter)
    }

    private companion object {
        /** Time after which a load that hasn't ended is asked for again, in milliseconds. */
        const val CHECK_AGAIN_MS = 40L
    }
}
