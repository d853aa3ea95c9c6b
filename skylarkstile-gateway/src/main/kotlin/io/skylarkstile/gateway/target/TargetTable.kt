/*
 * The known targets. A target whose entry is deleted is removed at once; one whose entry expired during a store outage is kept until the
 * target has had time to write it again.
 */
package io.skylarkstile.gateway.target

import io.skylarkstile.gateway.model.TargetEntry

/** Holds all known targets. Not thread-safe. */
class TargetTable {
    private val targets = LinkedHashMap<String, TargetState>()
    private val returnDeadlines = HashMap<String, Long>()

    private val evacuations = Evacuations()

    val all: Collection<TargetState> get() = targets.values

    /** Names of the data centres under evacuation. */
    val evacuatedDataCentres: Set<String> get() = evacuations.dataCentres

    operator fun get(id: String): TargetState? = targets[id]

    /** Returns the targets of [service] that accept new calls. */
    fun ready(service: String): List<TargetState> = targets.values.filter { it.entry.service == service && it.acceptsCalls }

    /** Returns whether evacuations are all that keeps calls of [service] from its targets. */
    fun isEvacuated(service: String): Boolean {
        val inService = targets.values.filter { it.entry.service == service && it.isInService }
        return inService.isNotEmpty() && inService.all { it.isEvacuated }
    }

    /** Begins the evacuation of [dataCentre] as [Evacuations.begin] does; returns false if it has begun before. */
    fun evacuate(
        dataCentre: String,
        now: Long,
        absentAt: Long?,
        boundMs: Long,
    ): Boolean = evacuations.begin(dataCentre, now, absentAt, boundMs).also { if (it) applyEvacuations(now) }

    /**
     * Ends the evacuation of [dataCentre]; returns false if there is none. Its targets may have been started anew meanwhile, so they count as
     * cold until they say something else.
     */
    fun endEvacuation(
        dataCentre: String,
        now: Long,
    ): Boolean {
        if (!evacuations.end(dataCentre, now)) return false
        targets.values.filter { it.entry.dataCentre == dataCentre }.forEach { it.callLimit.cold.assumeStarted(now) }
        applyEvacuations(now)
        return true
    }

    /** Closes and opens the targets of evacuated data centres as time passes. Called regularly. */
    fun tick(now: Long) {
        if (!evacuations.isActive) return
        applyEvacuations(now)
        evacuations.tick(now)
    }

    private fun applyEvacuations(now: Long) = targets.values.forEach {
        it.isDeparting = evacuations.isDeparting(it.entry)
        it.isEvacuated = evacuations.isClosed(it.entry, now)
    }

    /** Adds or updates a target. A restarted target, or one at another address, gets a new state without history. */
    fun put(entry: TargetEntry): TargetState {
        returnDeadlines.remove(entry.id)
        val existing = targets[entry.id]
        if (existing != null && existing.entry.startedAt == entry.startedAt && existing.entry.address == entry.address) {
            existing.entry = entry
            existing.models = entry.models
            return existing
        }
        val added = TargetState(entry)
        added.isDeparting = evacuations.isDeparting(entry)
        // One that is new in an evacuated data centre has nothing that would have to be loaded elsewhere first.
        added.isEvacuated = added.isDeparting
        targets[entry.id] = added
        return added
    }

    /** Removes a target; with [reappearUntil] only at that time, unless its entry has returned by then. */
    fun remove(
        id: String,
        now: Long,
        reappearUntil: Long?,
    ) {
        if (id !in targets) return
        if (reappearUntil != null && reappearUntil > now) returnDeadlines.putIfAbsent(id, reappearUntil) else targets.remove(id)
    }

    /** Replaces all entries by a complete list; [reappearUntil] applies to the removed ones as in [remove]. */
    fun replace(
        entries: List<TargetEntry>,
        now: Long,
        reappearUntil: Long?,
    ) {
        entries.forEach(::put)
        val listed = entries.mapTo(HashSet()) { it.id }
        targets.keys.filter { it !in listed }.forEach { remove(it, now, reappearUntil) }
    }

    /** Returns the time of the next removal by [removeExpired], or null if there is none. */
    fun nextRemovalOrNull(): Long? = returnDeadlines.values.minOrNull()

    /** Removes the targets that did not return in time, and returns their ids. */
    fun removeExpired(now: Long): List<String> {
        val expired = returnDeadlines.filterValues { it <= now }.keys.toList()
        expired.forEach {
            returnDeadlines.remove(it)
            targets.remove(it)
        }
        return expired
    }
}
