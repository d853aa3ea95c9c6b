/*
 * Turns the course of the lease into events for listeners.
 */
package io.skylarkstile.entry.cluster

import io.skylarkstile.core.cluster.ClusterTiming

/** Event of the lease. */
internal enum class LeaseEvent { Gained, Lapsed, Isolated }

/** Compares the lease from call to call; not thread-safe. */
internal class LeaseEventDetector(
    private val timing: ClusterTiming,
) {
    private var hadLease = false
    private var isolationReported = true

    /** Returns what happened since the last call. [unconfirmedMs] is the time since the last valid confirmation. */
    fun detect(
        hasLease: Boolean,
        unconfirmedMs: Long,
    ): List<LeaseEvent> {
        val events = ArrayList<LeaseEvent>()
        if (hasLease && !hadLease) events += LeaseEvent.Gained
        if (!hasLease && hadLease) events += LeaseEvent.Lapsed
        if (hasLease) isolationReported = false
        hadLease = hasLease
        if (!hasLease && !isolationReported && unconfirmedMs >= timing.isolationMs) {
            isolationReported = true
            events += LeaseEvent.Isolated
        }
        return events
    }
}
