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
    val models: Set<String>,
    /** True while a base model is being loaded. */
    val isBusy: Boolean,
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
        /** Time from which the adapter may be told to leave; it isn't offered to calls any more. */
        var leaveAt: Long? = null

        /** The order to leave was taken and waits for the adapter's runs; the target takes no other order meanwhile. */
        var isUnloading = false
        var checks = 0
    }

    private class Wish(
        val since: Long,
        var until: Long,
    )

    private val places = LinkedHashMap<AdapterVersion, Place>()
    private val wishes = LinkedHashMap<AdapterVersion, Wish>()
    private val atHand = LinkedHashSet<AdapterVersion>()
    private var modelCheckAt: Long? = null
    private var modelChecks = 0

    /** Base models that the target has. */
    var models: Set<String> = emptySet()
        private set

    /** Number of orders that the target has accepted, or null when a report is needed. */
    var orders: Long? = null
        private set

    /** Returns whether the target has to be asked for a report before the next order. */
    val needsReport: Boolean get() = orders == null

    /** Returns when the next order is due without a new wish, or null. */
    val nextDueAt: Long?
        get() = modelCheckAt ?: unloadingOrNull()?.value?.leaveAt ?: places.values.mapNotNull { it.readyAt ?: it.leaveAt }.minOrNull()
    val isModelUnderWay: Boolean get() = modelCheckAt != null
    val wishCount: Int get() = wishes.size
    val freePlaces: Int get() = capacity - places.size

    /** Returns all adapters with their phases. */
    fun phases(): Map<AdapterVersion, AdapterPhase> = places
        .filterValues { it.leaveAt == null }
        .mapValues { (_, place) -> place.readyAt?.let { AdapterPhase.Loading(it) } ?: AdapterPhase.Present }

    /** Notes that a call waits for [adapter] or begins to use it. */
    fun wish(
        adapter: AdapterVersion,
        now: Long,
    ) {
        val place = places[adapter]
        if (place == null) {
            wishes.getOrPut(adapter) { Wish(now, now) }.until = now + WISH_MS
            return
        }
        place.usedAt = now
        if (!place.isUnloading) place.leaveAt = null
    }

    /** Replaces what is believed by a [report]. */
    fun report(
        report: TargetReport,
        now: Long,
    ) {
        orders = report.orders
        models = report.models
        modelCheckAt = if (report.isBusy) now + MODEL_CHECK_MS else null
        modelChecks = 0
        places.keys.retainAll(report.present + report.loading)
        report.present.forEach { adapter ->
            val place = places.getOrPut(adapter) { Place(null, now) }
            place.readyAt = null
            // An order to leave that was lost is given again.
            place.isUnloading = false
        }
        report.loading.forEach { places.getOrPut(it) { Place(now + COLD_LOAD_MS, now) } }
    }

    /** Asks for a report, because the target's number of orders isn't known. */
    private fun doubt() {
        orders = null
    }

    /**
     * Returns the next order to send, or null. [inUse] tells whether any instance has calls on an adapter; [isCurrent] whether calls still
     * ask for that version. [model] is the base model that the target should have, or null when any that it has will do.
     */
    fun nextOrNull(
        now: Long,
        model: String?,
        inUse: (AdapterVersion) -> Boolean,
        isCurrent: (AdapterVersion) -> Boolean,
    ): TargetOrder? {
        if (orders == null) return null
        wishes.values.removeIf { it.until < now }
        if (model != null && model !in models) return TargetOrder.LoadModel(model).takeIf { now >= (modelCheckAt ?: now) }
        unloadingOrNull()?.let { (adapter, place) -> return AdapterOrder.Unload(adapter).takeIf { now >= (place.leaveAt ?: now) } }
        dueCheckOrNull(now, isCurrent)?.let { return it }
        if (orders == null) return null
        dueUnloadOrNull(now, inUse)?.let { return it }
        val wanted = wishes.keys.maxByOrNull { popularity.rate("$it", now) }
        makeRoom(now, inUse, isCurrent, wanted)
        if (wanted == null || places.size >= capacity || places.values.count { it.readyAt != null } >= LOADS_AT_ONCE) return null
        return AdapterOrder.Load(wanted)
    }

    private fun unloadingOrNull() = places.entries.firstOrNull { it.value.isUnloading }

    private fun dueCheckOrNull(
        now: Long,
        isCurrent: (AdapterVersion) -> Boolean,
    ): AdapterOrder? {
        val due = places.entries.firstOrNull { (it.value.readyAt ?: Long.MAX_VALUE) <= now } ?: return null
        if (isCurrent(due.key)) return AdapterOrder.Check(due.key)
        // A newer version was announced during the load: repeating it would order that one, so a report has to tell what came.
        doubt()
        return null
    }

    private fun dueUnloadOrNull(
        now: Long,
        inUse: (AdapterVersion) -> Boolean,
    ): AdapterOrder? {
        val due = places.entries.firstOrNull { (it.value.leaveAt ?: Long.MAX_VALUE) <= now } ?: return null
        if (!inUse(due.key)) return AdapterOrder.Unload(due.key)
        due.value.leaveAt = null
        return null
    }

    /** Marks adapters that have to leave so that a place is free before it is wanted: a call then waits for the load only. */
    private fun makeRoom(
        now: Long,
        inUse: (AdapterVersion) -> Boolean,
        isCurrent: (AdapterVersion) -> Boolean,
        wanted: AdapterVersion?,
    ) {
        val free = capacity - places.size + places.values.count { it.leaveAt != null }
        if (free >= minOf(SPARE_PLACES + wishes.size, LOADS_AT_ONCE)) return
        val since = wanted?.let { wishes.getValue(it).since } ?: now
        victimOrNull(now, inUse, isCurrent, since)?.let { places.getValue(it).leaveAt = now + LEAVE_MS }
    }

    private fun victimOrNull(
        now: Long,
        inUse: (AdapterVersion) -> Boolean,
        isCurrent: (AdapterVersion) -> Boolean,
        waitingSince: Long,
    ): AdapterVersion? {
        // With every place in steady use, an adapter that nobody else asks for would otherwise never be loaded.
        val unknownMs = if (now - waitingSince < LONG_WAIT_MS) USE_UNKNOWN_MS else 0
        val idle =
            places.filter { (adapter, place) ->
                place.readyAt == null &&
                    place.leaveAt == null &&
                    now - place.usedAt >= unknownMs &&
                    adapter !in wishes &&
                    !inUse(adapter)
            }
        val handles =
            idle.map { (adapter, place) ->
                IdleHandle("$adapter", isCurrent(adapter), popularity.rate("$adapter", now), place.usedAt)
            }
        val victim = chooseVictim(handles, WARM_LOAD_MS, now - waitingSince).handleOrNull ?: return null
        return idle.keys.first { "$it" == victim }
    }

    /** Applies the outcome of [order]. */
    fun answered(
        order: TargetOrder,
        outcome: OrderOutcome,
        now: Long,
    ) = when (order) {
        is TargetOrder.LoadModel -> modelAnswered(order, outcome, now)
        is AdapterOrder -> adapterAnswered(order, outcome, now)
    }

    private fun modelAnswered(
        order: TargetOrder.LoadModel,
        outcome: OrderOutcome,
        now: Long,
    ) {
        val isUnderWay = modelCheckAt != null
        when {
            outcome == OrderOutcome.Done -> {
                models = models + order.model
                modelCheckAt = null
            }

            outcome == OrderOutcome.Accepted && !isUnderWay -> {
                orders = orders?.plus(1)
                modelChecks = 0
                modelCheckAt = now + MODEL_CHECK_MS
            }

            outcome in setOf(OrderOutcome.Accepted, OrderOutcome.Conflict) && isUnderWay && modelChecks++ < MOST_MODEL_CHECKS -> {
                modelCheckAt = now + MODEL_CHECK_MS
            }

            else -> {
                doubt()
            }
        }
    }

    private fun adapterAnswered(
        order: AdapterOrder,
        outcome: OrderOutcome,
        now: Long,
    ) {
        when (outcome) {
            OrderOutcome.Accepted -> accepted(order, now)
            OrderOutcome.Done -> done(order, now)
            OrderOutcome.Conflict -> conflict(order, now)
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
                val place = places[order.adapter] ?: return doubt()
                if (place.isUnloading) return askAgain(place, now)
                orders = orders?.plus(1)
                place.isUnloading = true
                place.checks = 0
                place.leaveAt = now + CHECK_AGAIN_MS
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
            val place = places.remove(order.adapter)
            if (place?.isUnloading != true) orders = orders?.plus(1)
            return
        }
        wishes.remove(order.adapter)
        val place = places.getOrPut(order.adapter) { Place(null, now) }
        place.readyAt = null
        place.usedAt = now
        atHand.remove(order.adapter)
        atHand.add(order.adapter)
        if (atHand.size > KEPT_AT_HAND) atHand.remove(atHand.first())
    }

    /** A load that is still under way answers like one whose expected number is wrong; after some tries a report has to tell. */
    private fun conflict(
        order: AdapterOrder,
        now: Long,
    ) {
        val place = places[order.adapter]
        when {
            place != null && place.isUnloading -> askAgain(place, now)
            order is AdapterOrder.Check && place != null && place.checks++ < MOST_CHECKS -> postpone(order, now)
            else -> doubt()
        }
    }

    /** Repeats an order to leave until the adapter's runs have ended. */
    private fun askAgain(
        place: Place,
        now: Long,
    ) {
        if (place.checks++ < MOST_UNLOAD_CHECKS) place.leaveAt = now + CHECK_AGAIN_MS else doubt()
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

    private companion object {
        /** Time after which a load that hasn't ended is asked for again, in milliseconds. */
        const val CHECK_AGAIN_MS = 40L
        const val MOST_CHECKS = 5

        /** Runs end within seconds; after this many questions a report has to tell. */
        const val MOST_UNLOAD_CHECKS = 100

        /** Other instances tell within this time that calls of theirs use an adapter, in milliseconds. */
        const val USE_UNKNOWN_MS = 400L

        /** A wish that waits longer takes the place of an adapter whose use may not be known yet, in milliseconds. */
        const val LONG_WAIT_MS = 200L

        /** A base model takes seconds to load; its end is asked for this often, in milliseconds, and this many times. */
        const val MODEL_CHECK_MS = 250L
        const val MOST_MODEL_CHECKS = 60

        /** Places that are kept free. */
        const val SPARE_PLACES = 1

        /** Time for the other instances to learn that an adapter leaves before it is unloaded, in milliseconds. */
        const val LEAVE_MS = 25L
    }
}
