/*
 * Derives events for listeners from the state of the lease.
 */
package io.skylarkstile.entry.cluster

import io.skylarkstile.core.cluster.ClusterTiming

/** Change of the lease that listeners are notified of. */
internal enum class LeaseEvent { Gained, Lapsed, Isolated }

/** Compares the state of the lease with that of the previous call. Not thread-safe. */
internal class LeaseEventDetector(
    private val timing: ClusterTiming,
) {
    private var hadLease = false
    private var isolationReported = true

    /** Returns the events since the previous call. [unconfirmedMs] is the time since the lease was last confirmed, in milliseconds. */
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
