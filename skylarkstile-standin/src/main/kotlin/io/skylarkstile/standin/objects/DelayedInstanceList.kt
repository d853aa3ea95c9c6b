/*
 * Returns the platform's instance list with a delay, so that each change becomes visible late.
 */
package io.skylarkstile.standin.objects

import io.skylarkstile.transport.platform.ListedInstance

/** Keeps the states of the list with the time from which each was valid. */
internal class DelayedInstanceList(
    initial: List<ListedInstance>,
) {
    private val lock = Any()
    private val states = ArrayDeque(listOf(0L to initial))

    /** Adds a state of the list that is valid from [now] (milliseconds) on. */
    fun recordState(
        listedInstances: List<ListedInstance>,
        now: Long,
    ) {
        synchronized(lock) { if (states.last().second != listedInstances) states.addLast(now to listedInstances) }
    }

    /** Returns the state that was valid [lagMs] milliseconds before [now]; drops older ones. */
    fun at(
        now: Long,
        lagMs: Long,
    ): List<ListedInstance> = synchronized(lock) {
        while (states.size > 1 && states[1].first <= now - lagMs) states.removeFirst()
        states.first().second
    }
}
