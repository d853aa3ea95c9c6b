/*
 * What an owner knows of the adapter slots of one engine. The owner's own requests are counted exactly; what earlier owners or broken
 * connections may have left running is known only from the engine's reports, which lag. A handle therefore leaves only when its count
 * is 0, no former owner still uses it, and, where something else may run on it, a report produced later has shown 0 running.
 */
package io.skylarkstile.core.placement

import kotlinx.serialization.Serializable

/** A removed handle is remembered this long so that a lagging report does not bring it back. */
private const val REMOVED_MEMORY_MS = 60_000L

/** Tells what is known of a handle. */
enum class SlotPhase { Loading, Loaded, Unloading, Doubtful }

/** One report of the engine: running requests by loaded handle. [producedAt] is the earliest time at which it can have been produced. */
data class SlotReport(
    val running: Map<String, Int>,
    val producedAt: Long,
)

/** One handle in a state dump. */
@Serializable
data class SlotDump(
    val handle: String,
    val phase: SlotPhase,
    val usable: Boolean,
    val pins: Int,
    val awaitsIdleReport: Boolean,
)

/**
 * Tracks the handles of one engine for the owner of [epoch], which took over at [acquiredAt]. Not thread-safe: guarded by the target's lock.
 * Without [fencing], handles carry the epoch so that a late order of a former owner names a handle that is not in use.
 */
class AdapterSlots(
    private val epoch: Long,
    private val fencing: Boolean,
    private val acquiredAt: Long,
) {
    private class Slot(
        val handle: String,
        val model: String,
        var phase: SlotPhase,
        var usable: Boolean,
        var since: Long,
        /** A report of 0 running must be produced after this time before the handle may leave; null when none is needed. */
        var idleAfter: Long?,
    ) {
        var pins = 0
        var lastUsedAt = since
    }

    private val slots = LinkedHashMap<String, Slot>()
    private val removedAt = HashMap<String, Long>()
    private val generations = HashMap<String, Int>()

    /** Number of slots that are or may be occupied. */
    val occupied: Int get() = slots.size

    /** Returns the handle under which this owner loads [model] (`adapter@version`). */
    fun handleFor(model: String): String {
        val generation = generations[model] ?: 0
        return when {
            generation > 0 -> "$model#$epoch.$generation"
            fencing -> model
            else -> "$model#$epoch"
        }
    }

    /** Returns whether requests for [model] can start now. */
    fun isLoaded(model: String): Boolean = slots[handleFor(model)]?.let { it.usable && it.phase == SlotPhase.Loaded } ?: false

    /** Returns whether a load, an unload or an open question about [model] is under way. */
    fun isChanging(model: String): Boolean = slots[handleFor(model)]?.let { it.phase != SlotPhase.Loaded } ?: false

    /** Returns the models that can be used, or that are being loaded. */
    fun models(phase: SlotPhase): List<String> = slots.values.filter { it.usable && it.phase == phase }.map { it.model }

    /** Counts one request on [model]; returns its handle, or null when it is not loaded. */
    fun pin(
        model: String,
        now: Long,
    ): String? {
        val slot = slots[handleFor(model)]?.takeIf { it.usable && it.phase == SlotPhase.Loaded } ?: return null
        slot.pins++
        slot.lastUsedAt = now
        return slot.handle
    }

    /** Ends one request on [handle]. Without a complete answer ([complete] false) the engine may still run it until a report says otherwise. */
    fun unpin(
        handle: String,
        complete: Boolean,
        now: Long,
    ) {
        val slot = slots[handle] ?: return
        slot.pins = (slot.pins - 1).coerceAtLeast(0)
        slot.lastUsedAt = now
        if (!complete) slot.idleAfter = now
    }

    /** Returns the running requests of this owner by handle. */
    fun pins(): Map<String, Int> = slots.values.filter { it.pins > 0 }.associate { it.handle to it.pins }

    /** Occupies a slot for a load of [model] and returns the handle to load. */
    fun beginLoad(
        model: String,
        now: Long,
    ): String {
        val handle = handleFor(model)
        // With fencing a former owner may have loaded the same handle too late for the reports read so far, and may still run requests on it.
        slots[handle] = Slot(handle, model, SlotPhase.Loading, usable = true, since = now, idleAfter = acquiredAt.takeIf { fencing })
        return handle
    }

    /** Ends a load: [loaded] is null when the order's outcome is not known; then a later report decides. */
    fun endLoad(
        handle: String,
        loaded: Boolean?,
        now: Long,
    ) {
        val slot = slots[handle]?.takeIf { it.phase == SlotPhase.Loading } ?: return
        slot.since = now
        when (loaded) {
            true -> slot.phase = SlotPhase.Loaded
            false -> remove(slot, now)
            null -> slot.phase = SlotPhase.Doubtful
        }
    }

    /** Returns the handles that may leave now. [foreign] holds what former owners still run; [isWanted] tells whether requests wait for a model. */
    fun idle(
        foreign: Map<String, Int>,
        popularity: Popularity,
        now: Long,
        isWanted: (String) -> Boolean,
    ): List<IdleHandle> = slots.values
        .filter { mayLeave(it, foreign) && !(it.usable && isWanted(it.model)) }
        .map { IdleHandle(it.handle, it.usable, if (it.usable) popularity.rate(it.model, now) else 0.0, it.lastUsedAt) }

    private fun mayLeave(
        slot: Slot,
        foreign: Map<String, Int>,
    ): Boolean = slot.phase == SlotPhase.Loaded && slot.pins == 0 && slot.idleAfter == null && (foreign[slot.handle] ?: 0) == 0

    /** Takes [handle] out of use; returns false when a request runs on it or it is not loaded. */
    fun beginUnload(
        handle: String,
        foreign: Map<String, Int>,
        now: Long,
    ): Boolean {
        val slot = slots[handle]?.takeIf { mayLeave(it, foreign) } ?: return false
        slot.phase = SlotPhase.Unloading
        slot.since = now
        return true
    }

    /**
     * Ends an unload. When the outcome is not known ([unloaded] null) the order may still take effect later, so the name is not used again
     * in this epoch.
     */
    fun endUnload(
        handle: String,
        unloaded: Boolean?,
        now: Long,
    ) {
        val slot = slots[handle]?.takeIf { it.phase == SlotPhase.Unloading } ?: return
        slot.since = now
        when (unloaded) {
            true -> {
                remove(slot, now)
            }

            false -> {
                slot.phase = SlotPhase.Loaded
                slot.idleAfter = now
            }

            null -> {
                slot.phase = SlotPhase.Doubtful
                slot.usable = false
                if (handle == handleFor(slot.model)) generations.merge(slot.model, 1, Int::plus)
            }
        }
    }

    /** Takes the engine's word that it does not know [handle]. */
    fun missing(
        handle: String,
        now: Long,
    ) {
        slots[handle]?.takeIf { it.phase == SlotPhase.Loaded }?.let { remove(it, now) }
    }

    /** Compares with a report of the engine; what it shows about times before the last change of a handle is ignored. */
    fun report(
        report: SlotReport,
        now: Long,
    ) {
        removedAt.values.removeIf { now - it > REMOVED_MEMORY_MS }
        report.running.forEach { (handle, running) -> reported(handle, running, report.producedAt, now) }
        slots.values.filter { it.handle !in report.running && isLost(it, report) }.forEach { remove(it, now) }
    }

    private fun isLost(
        slot: Slot,
        report: SlotReport,
    ): Boolean = slot.pins == 0 && report.producedAt > slot.since && slot.phase in setOf(SlotPhase.Loaded, SlotPhase.Doubtful)

    private fun reported(
        handle: String,
        running: Int,
        producedAt: Long,
        now: Long,
    ) {
        val slot = slots[handle] ?: return adopt(handle, running, producedAt, now)
        if (slot.phase == SlotPhase.Doubtful && producedAt > slot.since) {
            slot.phase = SlotPhase.Loaded
            slot.since = now
        }
        val idleAfter = slot.idleAfter ?: return
        if (running == 0 && producedAt > idleAfter) slot.idleAfter = null
    }

    private fun adopt(
        handle: String,
        running: Int,
        producedAt: Long,
        now: Long,
    ) {
        if ((removedAt[handle] ?: Long.MIN_VALUE) >= producedAt) return
        val model = handle.substringBefore('#')
        val idleAfter = acquiredAt.takeUnless { running == 0 && producedAt > acquiredAt }
        slots[handle] = Slot(handle, model, SlotPhase.Loaded, usable = handle == handleFor(model), since = now, idleAfter = idleAfter)
    }

    /** Forgets everything: the engine restarted empty. */
    fun forget() {
        slots.clear()
        removedAt.clear()
    }

    private fun remove(
        slot: Slot,
        now: Long,
    ) {
        slots.remove(slot.handle)
        removedAt[slot.handle] = now
    }

    fun dump(): List<SlotDump> = slots.values.map { SlotDump(it.handle, it.phase, it.usable, it.pins, it.idleAfter != null) }
}
