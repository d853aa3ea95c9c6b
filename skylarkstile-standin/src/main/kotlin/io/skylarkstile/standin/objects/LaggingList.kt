/*
 * The platform's instance list, which shows each change only after a while.
 */
package io.skylarkstile.standin.objects

import io.skylarkstile.transport.platform.ListedInstance

/** Remembers since when each state of the list is in force. */
internal class LaggingList(
    initial: List<ListedInstance>,
) {
    private val lock = Any()
    private val states = ArrayDeque(listOf(0L to initial))

    /** Notes that [lines] are in force from [now] (milliseconds) on. */
    fun note(
        lines: List<ListedInstance>,
        now: Long,
    ) {
        synchronized(lock) { if (states.last().second != lines) states.addLast(now to lines) }
    }

    /** Returns the list that was in force [lagMs] before [now]. */
    fun at(
        now: Long,
        lagMs: Long,
    ): List<ListedInstance> = synchronized(lock) {
        while (states.size > 1 && states[1].first <= now - lagMs) states.removeFirst()
        states.first().second
    }
}
