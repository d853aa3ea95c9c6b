/*
 * Decides which targets get calls while an operator evacuates data centres. The targets of an evacuated data centre stop taking calls one
 * after the other, so that the adapters that they have can be loaded elsewhere first; they take calls again one after the other, too.
 */
package io.skylarkstile.gateway.target

import io.skylarkstile.core.cluster.stableFraction
import io.skylarkstile.gateway.model.TargetEntry

/** Share of the evacuation bound over which the targets of a data centre stop taking calls. */
private const val DEPARTURE_SHARE = 0.3

/** Share of the evacuation bound after which no target takes calls any more, counted from when the evacuation can have begun. */
private const val LAST_CALL_SHARE = 0.7

/** Time over which the targets of a data centre take calls again, in milliseconds. */
private const val RETURN_MS = 1_000L

/** Tracks the evacuated data centres. Not thread-safe. */
class Evacuations {
    /** A time from [beginsAt] to [endsAt] over which targets are closed or opened, in milliseconds. */
    private data class Transition(
        val beginsAt: Long,
        val endsAt: Long,
    ) {
        /** Returns whether the transition has reached the target with this [id]. */
        fun includes(
            id: String,
            now: Long,
        ): Boolean = now >= endsAt || (now >= beginsAt && now >= beginsAt + (endsAt - beginsAt) * stableFraction(id))
    }

    private val evacuated = HashMap<String, Transition>()
    private val returning = HashMap<String, Transition>()

    /** Names of the data centres under evacuation. */
    val dataCentres: Set<String> get() = evacuated.keys

    /** True while the targets of any data centre are closed or not all open again. */
    val isActive: Boolean get() = evacuated.isNotEmpty() || returning.isNotEmpty()

    /**
     * Begins the evacuation of [dataCentre], which must be empty [boundMs] after the store has accepted it. At [absentAt] the store didn't
     * have it yet; null if that isn't known, and then all targets are closed at once. Returns false if it has begun before.
     */
    fun begin(
        dataCentre: String,
        now: Long,
        absentAt: Long?,
        boundMs: Long,
    ): Boolean {
        if (dataCentre in evacuated) return false
        returning.remove(dataCentre)
        val lastCallAt = absentAt?.let { it + (boundMs * LAST_CALL_SHARE).toLong() } ?: now
        val endsAt = minOf(now + (boundMs * DEPARTURE_SHARE).toLong(), lastCallAt)
        evacuated[dataCentre] = Transition(now, maxOf(now, endsAt))
        return true
    }

    /** Ends the evacuation of [dataCentre]; returns false if there is none. */
    fun end(
        dataCentre: String,
        now: Long,
    ): Boolean {
        evacuated.remove(dataCentre) ?: return false
        returning[dataCentre] = Transition(now, now + RETURN_MS)
        return true
    }

    /** Forgets the data centres whose targets are all open again. */
    fun tick(now: Long) {
        if (returning.isNotEmpty()) returning.values.removeIf { now >= it.endsAt }
    }

    /** Returns whether [target] is in an evacuated data centre; it may still take calls. */
    fun isDeparting(target: TargetEntry): Boolean = target.dataCentre in evacuated

    /** Returns whether [target] takes no calls. */
    fun isClosed(
        target: TargetEntry,
        now: Long,
    ): Boolean {
        evacuated[target.dataCentre]?.let { return it.includes(target.id, now) }
        return returning[target.dataCentre]?.let { !it.includes(target.id, now) } ?: false
    }
}
