/*
 * Adapter slots of one engine as known to its owner. The owner counts its own requests exactly, but knows requests left running by earlier
 * owners or broken connections only from the engine's reports, which lag. A handle is therefore unloaded only when its count is 0, no
 * former owner still uses it and, where other requests may run on it, a report produced afterwards has shown 0 running requests.
 */
package io.skylarkstile.core.placement

import kotlinx.serialization.Serializable

/** Time in milliseconds for which a removed handle is remembered, so that a lagging report does not add it again. */
private const val REMOVED_RETENTION_MS = 60_000L

/** Describes the state of a handle as known to the owner. `Doubtful` means that the outcome of a load or unload is unknown. */
enum class SlotPhase { Loading, Loaded, Unloading, Doubtful }

/**
 * Holds a report of the engine: the number of running requests by loaded handle. [producedAt] is the earliest time it can have been
 * produced.
 */
data class SlotReport(
    val running: Map<String, Int>,
    val producedAt: Long,
)

/** Describes one handle in a diagnostic dump. */
@Serializable
data class SlotDump(
    val handle: String,
    val phase: SlotPhase,
    val usable: Boolean,
    val pins: Int,
    val awaitsIdleReport: Boolean,
)

/**
 * Tracks the handles of one engine for its owner in [epoch], which acquired it at [acquiredAt]. Not thread-safe; callers must hold the
 * target's lock. Without [fencing], handles contain the epoch, so that a delayed order of a former owner refers to
 * a handle that is not in use.
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
        var changedAt: Long,
        /** Time after which a report of 0 running requests must be produced before the handle may be unloaded; null when none is needed. */
        var idleReportAfter: Long?,
    ) {
        var pins = 0
        var lastUsedAt = changedAt
    }

    private val slots = LinkedHashMap<String, Slot>()
    private val removedAt = HashMap<String, Long>()
    private val generations = HashMap<String, Int>()

    /** Number of slots that are occupied or may be. */
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

    /** Returns whether [model] is being loaded or unloaded, or is in an unknown state. */
    fun isChanging(model: String): Boolean = slots[handleFor(model)]?.let { it.phase != SlotPhase.Loaded } ?: false

    /** Returns the models with a usable handle in [phase]. */
    fun models(phase: SlotPhase): List<String> = slots.values.filter { it.usable && it.phase == phase }.map { it.model }

    /** Registers a running request on [model] and returns the handle to use, or null when the model is not loaded. */
    fun pin(
        model: String,
        now: Long,
    ): String? {
        val slot = slots[handleFor(model)]?.takeIf { it.usable && it.phase == SlotPhase.Loaded } ?: return null
        slot.pins++
        slot.lastUsedAt = now
        return slot.handle
    }

    /**
     * Ends one request on [handle]. When its answer was not [complete], the engine may still be running it until a later report shows 0
     * running requests.
     */
    fun unpin(
        handle: String,
        complete: Boolean,
        now: Long,
    ) {
        val slot = slots[handle] ?: return
        slot.pins = (slot.pins - 1).coerceAtLeast(0)
        slot.lastUsedAt = now
        if (!complete) slot.idleReportAfter = now
    }

    /** Returns the number of this owner's running requests by handle. */
    fun pins(): Map<String, Int> = slots.values.filter { it.pins > 0 }.associate { it.handle to it.pins }

    /** Occupies a slot for a load of [model] and returns the handle to load. */
    fun beginLoad(
        model: String,
        now: Long,
    ): String {
        val handle = handleFor(model)
        // With fencing, a former owner uses the same handle: it may have loaded it after the last report and may still run requests on it.
        slots[handle] =
            Slot(handle, model, SlotPhase.Loading, usable = true, changedAt = now, idleReportAfter = acquiredAt.takeIf { fencing })
        return handle
    }

    /** Ends a load. [loaded] is null when the outcome is unknown; a later report then resolves it. */
    fun endLoad(
        handle: String,
        loaded: Boolean?,
        now: Long,
    ) {
        val slot = slots[handle]?.takeIf { it.phase == SlotPhase.Loading } ?: return
        slot.changedAt = now
        when (loaded) {
            true -> slot.phase = SlotPhase.Loaded
            false -> remove(slot, now)
            null -> slot.phase = SlotPhase.Doubtful
        }
    }

    /**
     * Returns the handles that may be unloaded now. [foreignPins] is the number of requests that former owners still run, by handle;
     * [isWanted] returns whether requests wait for a model.
     */
    fun idle(
        foreignPins: Map<String, Int>,
        popularity: Popularity,
        now: Long,
        isWanted: (String) -> Boolean,
    ): List<IdleHandle> = slots.values
        .filter { canUnload(it, foreignPins) && !(it.usable && isWanted(it.model)) }
        .map { IdleHandle(it.handle, it.usable, if (it.usable) popularity.rate(it.model, now) else 0.0, it.lastUsedAt) }

    private fun canUnload(
        slot: Slot,
        foreignPins: Map<String, Int>,
    ): Boolean = slot.phase == SlotPhase.Loaded && slot.pins == 0 && slot.idleReportAfter == null && (foreignPins[slot.handle] ?: 0) == 0

    /** Marks [handle] as being unloaded; returns false when it is not loaded or requests may still run on it. */
    fun beginUnload(
        handle: String,
        foreignPins: Map<String, Int>,
        now: Long,
    ): Boolean {
        val slot = slots[handle]?.takeIf { canUnload(it, foreignPins) } ?: return false
        slot.phase = SlotPhase.Unloading
        slot.changedAt = now
        return true
    }

    /**
     * Ends an unload. When the outcome is unknown ([unloaded] is null), the order may still take effect later, so this handle is not reused
     * in this epoch.
     */
    fun endUnload(
        handle: String,
        unloaded: Boolean?,
        now: Long,
    ) {
        val slot = slots[handle]?.takeIf { it.phase == SlotPhase.Unloading } ?: return
        slot.changedAt = now
        when (unloaded) {
            true -> {
                remove(slot, now)
            }

            false -> {
                slot.phase = SlotPhase.Loaded
                slot.idleReportAfter = now
            }

            null -> {
                slot.phase = SlotPhase.Doubtful
                slot.usable = false
                if (handle == handleFor(slot.model)) generations.merge(slot.model, 1, Int::plus)
            }
        }
    }

    /** Removes [handle] after the engine has answered that it is not loaded. */
    fun missing(
        handle: String,
        now: Long,
    ) {
        slots[handle]?.takeIf { it.phase == SlotPhase.Loaded }?.let { remove(it, now) }
    }

    /** Updates the handles from a report of the engine. A report produced before the last change of a handle does not change its state. */
    fun report(
        report: SlotReport,
        now: Long,
    ) {
        removedAt.values.removeIf { now - it > REMOVED_RETENTION_MS }
        report.running.forEach { (handle, running) -> applyHandleReport(handle, running, report.producedAt, now) }
        slots.values.filter { it.handle !in report.running && isMissing(it, report) }.forEach { remove(it, now) }
    }

    private fun isMissing(
        slot: Slot,
        report: SlotReport,
    ): Boolean = slot.pins == 0 && report.producedAt > slot.changedAt && slot.phase in setOf(SlotPhase.Loaded, SlotPhase.Doubtful)

    private fun applyHandleReport(
        handle: String,
        running: Int,
        producedAt: Long,
        now: Long,
    ) {
        val slot = slots[handle] ?: return adopt(handle, running, producedAt, now)
        if (slot.phase == SlotPhase.Doubtful && producedAt > slot.changedAt) {
            slot.phase = SlotPhase.Loaded
            slot.changedAt = now
        }
        val idleReportAfter = slot.idleReportAfter ?: return
        if (running == 0 && producedAt > idleReportAfter) slot.idleReportAfter = null
    }

    private fun adopt(
        handle: String,
        running: Int,
        producedAt: Long,
        now: Long,
    ) {
        if ((removedAt[handle] ?: Long.MIN_VALUE) >= producedAt) return
        val model = handle.substringBefore('#')
        val idleReportAfter = acquiredAt.takeUnless { running == 0 && producedAt > acquiredAt }
        slots[handle] =
            Slot(handle, model, SlotPhase.Loaded, usable = handle == handleFor(model), changedAt = now, idleReportAfter = idleReportAfter)
    }

    /** Removes all handles after the engine restarted without loaded adapters. */
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

    fun dump(): List<SlotDump> = slots.values.map { SlotDump(it.handle, it.phase, it.usable, it.pins, it.idleReportAfter != null) }
}
