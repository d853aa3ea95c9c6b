/*
 * Turns the course of the lease into events for listeners.
 */
package io.skylarkstile.entry.cluster

import io.skylarkstile.core.cluster.ClusterTiming

/** Event of the lease. */
internal enum class LeaseEvent { Gained, Lapsed, Isolated }

/** Compares the lease from call to call; not thread-safe. */
internal class LeaseWatch(
    private val timing: ClusterTiming,
) {
    private var leased = false
    private var isolated = true

    /** Returns what happened since the last call. [unconfirmedMs] is the time since the last valid confirmation. */
    fun events(
        has: Boolean,
        unconfirmedMs: Long,
    ): List<LeaseEvent> {
        val events = ArrayList<LeaseEvent>()
        if (has && !leased) events += LeaseEvent.Gained
        if (!has && leased) events += LeaseEvent.Lapsed
        if (has) isolated = false
        leased = has
        if (!has && !isolated && unconfirmedMs >= timing.isolationMs) {
            isolated = true
            events += LeaseEvent.Isolated
        }
        return events
    }
}
