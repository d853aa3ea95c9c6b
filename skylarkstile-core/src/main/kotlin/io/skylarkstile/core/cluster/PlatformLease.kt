/*
 * The lease of this instance on the platform (way 3): an object that it renews by conditional writes while too few peers vouch for it.
 */
package io.skylarkstile.core.cluster

import io.skylarkstile.schema.generated.LeaseRecord

/** Decides on reads and renewals of the own lease object. */
internal class PlatformLease(
    private val self: String,
    private val timing: ClusterTiming,
) {
    private var version: Long? = null
    private var renewals = 0L
    private var busyUntil = Long.MIN_VALUE
    private var sentAt = Long.MIN_VALUE / 2

    /** Set while a fence of the present roster revision forbids renewals; a higher revision lifts it. */
    var fencedAt: Long? = null
        private set

    /** Returns the next call while the lease is [wanted], at most one each third of a lease. */
    fun nextOrNull(
        now: Long,
        incarnation: Long,
        revision: Long,
        wanted: Boolean,
    ): ClusterAction? {
        val fence = fencedAt
        val due = now - sentAt >= timing.leaseMs / 3
        if (!wanted || now < busyUntil || !due || (fence != null && revision <= fence)) return null
        fencedAt = null
        busyUntil = now + timing.leaseMs
        val known = version ?: return ClusterAction.ReadOwnLease
        sentAt = now
        return ClusterAction.WriteOwnLease(LeaseRecord(instance = self, incarnation = incarnation, renewals = ++renewals), known)
    }

    /** Handles a read; [record] is null when there is no object. */
    fun onRead(
        record: LeaseRecord?,
        readVersion: Long,
        revision: Long,
    ) {
        busyUntil = Long.MIN_VALUE
        version = readVersion
        renewals = maxOf(renewals, record?.renewals ?: 0)
        fencedAt = record?.fencedRevision?.takeIf { it >= revision }
    }

    /** Handles a renewal; returns the end of the lease it gives. */
    fun onWritten(outcome: WriteOutcome): Long {
        busyUntil = Long.MIN_VALUE
        // After a conflict or a lost answer the version is read again before the next renewal, at once.
        version = (outcome as? WriteOutcome.Written)?.version
        val until = if (outcome is WriteOutcome.Written) sentAt + timing.leaseMs else Long.MIN_VALUE
        if (outcome !is WriteOutcome.Written) sentAt = Long.MIN_VALUE / 2
        return until
    }

    fun onFailure() {
        busyUntil = Long.MIN_VALUE
        version = null
    }
}
