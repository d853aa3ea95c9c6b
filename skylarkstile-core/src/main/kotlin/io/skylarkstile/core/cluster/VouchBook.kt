/*
 * What this instance has promised to others: vouches that still run and consents to removals.
 */
package io.skylarkstile.core.cluster

import io.skylarkstile.schema.generated.ConsentReply
import io.skylarkstile.schema.generated.Member
import io.skylarkstile.schema.generated.Roster

/** Answers heartbeats and requests for consent, and tells which members are silent. */
internal class VouchBook(
    private val timing: ClusterTiming,
) {
    private class Peer(
        val incarnation: Long,
        var heardAt: Long,
    ) {
        var vouchedUntil = Long.MIN_VALUE
        var consentedAt = -1L
        var confirmed = 0L
    }

    private val peers = HashMap<String, Peer>()

    /** Begins with new members as if a heartbeat had just arrived, and drops those that are gone. */
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

    /** Notes that [from] has adopted [revision]. */
    fun confirm(
        from: String,
        incarnation: Long,
        revision: Long,
    ) {
        peerOrNull(from, incarnation)?.let { it.confirmed = maxOf(it.confirmed, revision) }
    }

    /** Returns whether all other members of [roster] have adopted [revision]. */
    fun allConfirmed(
        roster: Roster,
        self: String,
        revision: Long,
    ): Boolean = roster.members.all { m -> m.instance == self || (peerOrNull(m.instance, m.incarnation)?.confirmed ?: 0) >= revision }

    /** Handles a heartbeat; returns whether this instance vouches for the sender. */
    fun vouch(
        from: String,
        incarnation: Long,
        roster: Roster,
        now: Long,
    ): Boolean {
        val peer = peerOrNull(from, incarnation) ?: return false
        peer.heardAt = now
        if (peer.consentedAt == roster.revision) return false
        peer.vouchedUntil = now + timing.leaseMs
        return true
    }

    /** Returns whether [member] has missed three heartbeats. */
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
     * Consents to the removal of [member] at the revision of [roster] unless its heartbeats arrive here. The consent has no time limit: it
     * ends only with a higher revision, because a removal written late is conditional on the present one.
     */
    fun consent(
        member: Member,
        roster: Roster,
        now: Long,
    ): ConsentReply {
        val peer = peerOrNull(member.instance, member.incarnation)
        if (peer == null || !isSilent(member, now)) return ConsentReply(granted = false, remainingMs = 0)
        peer.consentedAt = roster.revision
        return ConsentReply(granted = true, remainingMs = maxOf(peer.vouchedUntil - now, -timing.leaseOverMs))
    }
}
