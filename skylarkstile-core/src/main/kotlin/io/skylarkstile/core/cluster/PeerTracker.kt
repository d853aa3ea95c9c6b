/*
 * The commitments of this instance to its peers: vouches that are still valid and consents to removals.
 */
package io.skylarkstile.core.cluster

import io.skylarkstile.schema.generated.ConsentReply
import io.skylarkstile.schema.generated.Member
import io.skylarkstile.schema.generated.Roster

/** Tracks the heartbeats of peers, and decides on vouches for them and on consents to their removal. */
internal class PeerTracker(
    private val timing: ClusterTiming,
) {
    private class Peer(
        val incarnation: Long,
        var heardAt: Long,
    ) {
        var vouchedUntil = Long.MIN_VALUE
        var consentedRevision = -1L
        var adoptedRevision = 0L
    }

    private val peers = HashMap<String, Peer>()

    /** Adopts the members of [roster]: a new one counts as if its heartbeat had just arrived, and those no longer listed are dropped. */
    fun adopt(
        roster: Roster,
        now: Long,
    ) {
        peers.entries.removeIf { (name, peer) -> !roster.lists(name, peer.incarnation) }
        roster.members.forEach { m -> peers.getOrPut(m.instance) { Peer(m.incarnation, now) } }
    }

    private fun peerOrNull(
        from: String,
        incarnation: Long,
    ) = peers[from]?.takeIf { it.incarnation == incarnation }

    /** Records that [from] has adopted roster [revision]. */
    fun recordAdopted(
        from: String,
        incarnation: Long,
        revision: Long,
    ) {
        peerOrNull(from, incarnation)?.let { it.adoptedRevision = maxOf(it.adoptedRevision, revision) }
    }

    /** Returns whether all members of [roster] other than [self] have adopted [revision]. */
    fun haveAllAdopted(
        roster: Roster,
        self: String,
        revision: Long,
    ): Boolean = roster.members.all { m -> m.instance == self || (peerOrNull(m.instance, m.incarnation)?.adoptedRevision ?: 0) >= revision }

    /** Handles a heartbeat and returns whether this instance vouches for its sender. */
    fun vouch(
        from: String,
        incarnation: Long,
        roster: Roster,
        now: Long,
    ): Boolean {
        val peer = peerOrNull(from, incarnation) ?: return false
        peer.heardAt = now
        if (peer.consentedRevision == roster.revision) return false
        peer.vouchedUntil = now + timing.leaseMs
        return true
    }

    /** Returns whether [member] is suspected, that is, has missed three heartbeats. */
    fun isSilent(
        member: Member,
        now: Long,
    ): Boolean = now - (peerOrNull(member.instance, member.incarnation)?.heardAt ?: now) >= timing.silenceMs

    /** Returns the time in milliseconds since the last heartbeat of [member]. */
    fun silentMs(
        member: Member,
        now: Long,
    ): Long = now - (peerOrNull(member.instance, member.incarnation)?.heardAt ?: now)

    /**
     * Consents to the removal of [member] at the revision of [roster] unless its heartbeats arrive here. The consent has no time limit and
     * ends only with a higher revision, because a delayed write of the removal is conditional on the present one.
     */
    fun consent(
        member: Member,
        roster: Roster,
        now: Long,
    ): ConsentReply {
        val peer = peerOrNull(member.instance, member.incarnation)
        if (peer == null || !isSilent(member, now)) return ConsentReply(granted = false, remainingMs = 0)
        peer.consentedRevision = roster.revision
        return ConsentReply(granted = true, remainingMs = maxOf(peer.vouchedUntil - now, -timing.leaseExpiryMs))
    }
}
