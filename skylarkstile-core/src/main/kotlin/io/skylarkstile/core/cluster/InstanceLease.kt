/*
 * The lease of this instance, granted by vouches of its peers or renewed on the platform. It is counted from the moment this instance sent
 * its heartbeat or write, so a delay only shortens it.
 */
package io.skylarkstile.core.cluster

import io.skylarkstile.schema.generated.Roster
import io.skylarkstile.schema.generated.Vouch

/** End of the lease of a sole member, which needs no vouches. */
const val UNLIMITED_LEASE: Long = Long.MAX_VALUE / 4

/** Computes the lease of [self] from the vouches received and the renewals on the platform. */
internal class InstanceLease(
    private val self: String,
    private val timing: ClusterTiming,
) {
    private class PeerGrant(
        val incarnation: Long,
    ) {
        var leasedUntil = Long.MIN_VALUE
        var grantedUntil = Long.MIN_VALUE
        var revision = Long.MIN_VALUE
    }

    /** Vouches received, by peer. */
    private val held = HashMap<String, PeerGrant>()

    /** Time at which the lease renewed on the platform ends. */
    var platformLeaseUntil: Long = Long.MIN_VALUE

    /** Records the reply of [from] to a heartbeat that was sent at [sentAt]. A refusal leaves an earlier grant valid. */
    fun recordVouch(
        from: String,
        vouch: Vouch,
        sentAt: Long,
    ) {
        val old = held[from]
        if (old != null && old.incarnation > vouch.incarnation) return
        val entry = old?.takeIf { it.incarnation == vouch.incarnation } ?: PeerGrant(vouch.incarnation).also { held[from] = it }
        if (!vouch.granted) return
        val until = sentAt + timing.leaseMs
        if (vouch.leased) entry.leasedUntil = maxOf(entry.leasedUntil, until)
        if (vouch.rosterRevision > entry.revision) {
            entry.revision = vouch.rosterRevision
            entry.grantedUntil = until
        } else if (vouch.rosterRevision == entry.revision) {
            entry.grantedUntil = maxOf(entry.grantedUntil, until)
        }
    }

    /**
     * Returns the end of the lease that other members of [roster] grant: the later one of the time until which as many as half of the
     * members, rounded down, vouch while holding a lease themselves, and the time until which all others vouch at the revision of [roster].
     */
    fun peerLeaseUntil(roster: Roster): Long {
        val others = roster.members.filter { it.instance != self }.map { m -> held[m.instance]?.takeIf { it.incarnation == m.incarnation } }
        val needed = roster.members.size / 2
        if (needed == 0) return UNLIMITED_LEASE
        val byHalf = others.map { it?.leasedUntil ?: Long.MIN_VALUE }.sortedDescending()[needed - 1]
        val byAll = others.minOf { it?.takeIf { h -> h.revision == roster.revision }?.grantedUntil ?: Long.MIN_VALUE }
        return maxOf(byHalf, byAll)
    }

    /** Returns the end of the lease: the later one of the lease granted by peers and the lease on the platform. */
    fun until(roster: Roster): Long = maxOf(peerLeaseUntil(roster), platformLeaseUntil)

    /** Discards all vouches and renewals, for a new incarnation. */
    fun clear() {
        held.clear()
        platformLeaseUntil = Long.MIN_VALUE
    }
}
