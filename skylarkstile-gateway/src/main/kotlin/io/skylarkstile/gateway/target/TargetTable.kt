/*
 * The targets that may get calls. An entry that is gone or leaves is taken out at once; one that lapsed while the store was away is kept
 * until the target has had time to write it again.
 */
package io.skylarkstile.gateway.target

import io.skylarkstile.gateway.model.TargetEntry

/** Holds all known targets. Not thread-safe. */
class TargetTable {
    private val targets = LinkedHashMap<String, TargetState>()
    private val missing = HashMap<String, Long>()

    val all: Collection<TargetState> get() = targets.values

    operator fun get(id: String): TargetState? = targets[id]

    /** Returns the targets of [service] that take new calls. */
    fun ready(service: String): List<TargetState> = targets.values.filter { it.entry.service == service && it.entry.isReady }

    /** Adds or changes one target. A new incarnation starts without history. */
    fun put(entry: TargetEntry): TargetState {
        missing.remove(entry.id)
        val known = targets[entry.id]
        if (known != null && known.entry.startedAt == entry.startedAt && known.entry.address == entry.address) {
            known.entry = entry
            known.models = entry.models
            return known
        }
        return TargetState(entry).also { targets[entry.id] = it }
    }

    /** Takes a target out; with [returnBy] only at that time, unless it has returned by then. */
    fun remove(
        id: String,
        now: Long,
        returnBy: Long?,
    ) {
        if (id !in targets) return
        if (returnBy != null && returnBy > now) missing.putIfAbsent(id, returnBy) else targets.remove(id)
    }

    /** Replaces all entries by a whole list. */
    fun replace(
        entries: List<TargetEntry>,
        now: Long,
        returnBy: Long?,
    ) {
        entries.forEach(::put)
        val listed = entries.mapTo(HashSet()) { it.id }
        targets.keys.filter { it !in listed }.forEach { remove(it, now, returnBy) }
    }

    /** Takes out the targets that did not return in time. */
    fun expire(now: Long): List<String> {
        val gone = missing.filterValues { it <= now }.keys.toList()
        gone.forEach {
            missing.remove(it)
            targets.remove(it)
        }
        return gone
    }
}
