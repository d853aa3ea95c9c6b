/*
 * The lease of this instance on the platform: an object that it renews by conditional writes while too few peers vouch for it.
 */
package io.skylarkstile.core.cluster

import io.skylarkstile.schema.generated.LeaseRecord

/** Schedules reads and renewals of the lease object of [self]. */
internal class PlatformLease(
    private val self: String,
    private val timing: ClusterTiming,
) {
    private var version: Long? = null
    private var renewals = 0L
    private var callPendingUntil = Long.MIN_VALUE
    private var sentAt = Long.MIN_VALUE / 2

    /** Roster revision at which another instance fenced the lease object. No renewal is allowed until the roster has a higher revision. */
    var fencedAtRevision: Long? = null
        private set

    /** Returns the next call if the lease is [wanted] and a call is due. Renewals are at least a third of a lease period apart. */
    fun nextOrNull(
        now: Long,
        incarnation: Long,
        revision: Long,
        wanted: Boolean,
    ): ClusterAction? {
        val fence = fencedAtRevision
        val due = now - sentAt >= timing.leaseMs / 3
        if (!wanted || now < callPendingUntil || !due || (fence != null && revision <= fence)) return null
        fencedAtRevision = null
        callPendingUntil = now + timing.leaseMs
        val known = version ?: return ClusterAction.ReadOwnLease
        sentAt = now
        return ClusterAction.WriteOwnLease(LeaseRecord(instance = self, incarnation = incarnation, renewals = ++renewals), known)
    }

    /** Handles the result of a read; [record] is null when the object does not exist. */
    fun onRead(
        record: LeaseRecord?,
        readVersion: Long,
        revision: Long,
    ) {
        callPendingUntil = Long.MIN_VALUE
        version = readVersion
        renewals = maxOf(renewals, record?.renewals ?: 0)
        fencedAtRevision = record?.fencedRevision?.takeIf { it >= revision }
    }

    /** Handles the outcome of a renewal and returns the end of the lease it grants, or `Long.MIN_VALUE` if it failed. */
    fun onWritten(outcome: WriteOutcome): Long {
        callPendingUntil = Long.MIN_VALUE
        // After a conflict or a lost answer, the version is read again at once, before the next renewal.
        version = (outcome as? WriteOutcome.Written)?.version
        val until = if (outcome is WriteOutcome.Written) sentAt + timing.leaseMs else Long.MIN_VALUE
        if (outcome !is WriteOutcome.Written) sentAt = Long.MIN_VALUE / 2
        return until
    }

    fun onFailure() {
        callPendingUntil = Long.MIN_VALUE
        version = null
    }
}
