/*
 * Removal of silent members: watch the platform lease, fence it, collect consents, wait until the last vouch ends, write the roster.
 */
package io.skylarkstile.core.cluster

import io.skylarkstile.schema.generated.ConsentReply
import io.skylarkstile.schema.generated.ConsentRequest
import io.skylarkstile.schema.generated.LeaseRecord
import io.skylarkstile.schema.generated.Member
import io.skylarkstile.schema.generated.Roster
import kotlinx.serialization.Serializable

/** Describes the state of one removal for diagnostics. */
@Serializable
data class RemovalDump(
    val instance: String,
    val phase: String,
    val consents: List<String>,
)

/** Runs the removals of other members that instance [self] has started. */
internal class Removals(
    private val self: String,
    private val timing: ClusterTiming,
    private val peers: PeerTracker,
) {
    /**
     * Steps of a removal. The lease object is read twice, a lease period and its guard time apart, to see that it is not renewed; then it
     * is fenced, and consents are collected.
     */
    private enum class Phase { FirstRead, SecondRead, Fence, Consent }

    /** The removal of [member] that is in progress. */
    private inner class Removal(
        var member: Member,
    ) {
        var phase = Phase.FirstRead
        var version = 0L
        var record: LeaseRecord? = null
        var watchedSince = 0L
        var fencedRevision = -1L
        var callPendingUntil = Long.MIN_VALUE
        var consentSince = 0L

        /** Consents given, by instance, with the time from which on the vouch of that instance has ended. */
        val consents = HashMap<String, Long>()
        val askedAt = HashMap<String, Long>()

        fun restart() {
            phase = Phase.FirstRead
            consents.clear()
            askedAt.clear()
        }
    }

    private val inProgress = LinkedHashMap<String, Removal>()

    /** Starts removals of silent members and returns the calls that are due. [lastRemovalAt] is the time of the last removal. */
    fun step(
        roster: Roster,
        lastRemovalAt: Long,
        now: Long,
    ): List<ClusterAction> {
        inProgress.values.removeIf { !roster.lists(it.member.instance, it.member.incarnation) }
        // A joining member may have become active since its removal started; the removal then needs consents.
        inProgress.values.forEach { removal -> roster.memberOrNull(removal.member.instance)?.let { removal.member = it } }
        suspects(roster, now).forEach { inProgress.getOrPut(it.instance) { Removal(it) } }
        return inProgress.values.filter { it.member.isVoting }.flatMap { advance(it, roster, lastRemovalAt, now) }
    }

    /** Returns the silent members that this instance should remove. Others wait longer by their rank, so that usually only one writes. */
    private fun suspects(
        roster: Roster,
        now: Long,
    ): List<Member> {
        val (suspects, live) = roster.members.filter { it.instance != self }.partition { peers.isSilent(it, now) }
        val rank = live.count { it.isVoting && it.instance < self }
        return suspects.filter { peers.silentMs(it, now) >= timing.silenceMs + rank * 2 * timing.leaseMs }
    }

    private fun advance(
        removal: Removal,
        roster: Roster,
        lastRemovalAt: Long,
        now: Long,
    ): List<ClusterAction> {
        if (now < removal.callPendingUntil) return emptyList()
        val watched = now - maxOf(removal.watchedSince, lastRemovalAt) >= timing.leaseExpiryMs
        return when {
            removal.phase == Phase.FirstRead -> removal.call(now, ClusterAction.ReadLease(removal.member))
            removal.phase == Phase.SecondRead && watched -> removal.call(now, ClusterAction.ReadLease(removal.member))
            removal.phase == Phase.SecondRead || !watched -> emptyList()
            removal.phase == Phase.Fence || removal.fencedRevision != roster.revision -> fence(removal, roster, now)
            else -> ask(removal, roster, now)
        }
    }

    private fun Removal.call(
        now: Long,
        action: ClusterAction,
    ): List<ClusterAction> {
        callPendingUntil = now + timing.leaseMs
        return listOf(action)
    }

    private fun fence(
        removal: Removal,
        roster: Roster,
        now: Long,
    ): List<ClusterAction> {
        removal.consents.clear()
        removal.askedAt.clear()
        removal.phase = Phase.Fence
        removal.fencedRevision = roster.revision
        val old = removal.record ?: LeaseRecord(instance = removal.member.instance, incarnation = removal.member.incarnation, renewals = 0)
        return removal.call(
            now,
            ClusterAction.Fence(removal.member, old.copy(fencedRevision = roster.revision, fencedBy = self), removal.version),
        )
    }

    private fun ask(
        removal: Removal,
        roster: Roster,
        now: Long,
    ): List<ClusterAction> {
        val own = roster.memberOrNull(self)
        if (own != null && own.isVoting && self !in removal.consents) accept(removal, self, peers.consent(removal.member, roster, now), now)
        val request =
            ConsentRequest(instance = removal.member.instance, incarnation = removal.member.incarnation, rosterRevision = roster.revision)
        return roster.members
            .filter { it.isVoting && it.instance != self && it.instance != removal.member.instance && it.instance !in removal.consents }
            .filter { now - (removal.askedAt[it.instance] ?: (now - timing.heartbeatMs)) >= timing.heartbeatMs }
            .onEach { removal.askedAt[it.instance] = now }
            .map { ClusterAction.AskConsent(it.instance, removal.member, request) }
    }

    /** Records a granted consent, with the time from which on the vouch of the consenting instance has ended. */
    private fun accept(
        removal: Removal,
        from: String,
        reply: ConsentReply,
        now: Long,
    ) {
        if (reply.granted) removal.consents[from] = now + maxOf(0, reply.remainingMs + timing.guardMs)
    }

    /** Handles the answer to [ClusterAction.ReadLease]. */
    fun onLeaseRead(
        member: Member,
        record: LeaseRecord?,
        version: Long,
        now: Long,
    ) {
        val removal = removalOrNull(member) ?: return
        removal.callPendingUntil = Long.MIN_VALUE
        if (removal.phase == Phase.SecondRead && version == removal.version) {
            removal.phase = Phase.Fence
        } else {
            // A change between the reads means that the member still renews its lease on the platform, so the watch starts over.
            removal.version = version
            removal.record = record
            removal.watchedSince = now
            removal.phase = Phase.SecondRead
        }
    }

    /** Handles the outcome of [ClusterAction.Fence]. */
    fun onFenced(
        member: Member,
        outcome: WriteOutcome,
        now: Long,
    ) {
        val removal = removalOrNull(member) ?: return
        removal.callPendingUntil = Long.MIN_VALUE
        if (outcome is WriteOutcome.Written && removal.phase == Phase.Fence) {
            removal.version = outcome.version
            removal.phase = Phase.Consent
            removal.consentSince = now
        } else {
            removal.restart()
        }
    }

    /** Handles the answer of [from] to a request for consent that was sent at roster [revision]. */
    fun onConsent(
        from: String,
        member: Member,
        revision: Long,
        reply: ConsentReply,
        now: Long,
    ) {
        val removal = removalOrNull(member) ?: return
        if (removal.phase == Phase.Consent && removal.fencedRevision == revision) accept(removal, from, reply, now)
    }

    /** Handles a failed read of the lease object of [member]. */
    fun onFailure(member: Member) {
        removalOrNull(member)?.let { it.callPendingUntil = Long.MIN_VALUE }
    }

    private fun removalOrNull(member: Member) = inProgress[member.instance]?.takeIf { it.member.incarnation == member.incarnation }

    /** Returns the members that can be removed from [roster] now. One write removes them all, since a new revision restarts the others. */
    fun ready(
        roster: Roster,
        now: Long,
    ): List<Member> = inProgress.values.filter { isReady(it, roster, now) }.map { it.member }

    private fun isReady(
        removal: Removal,
        roster: Roster,
        now: Long,
    ): Boolean {
        val member = roster.memberOrNull(removal.member.instance)
        if (member == null || member.incarnation != removal.member.incarnation) return false
        // A joining member owns no resource, has no quota share and states no lease in its vouches, so its removal needs no consent.
        if (!member.isVoting) return peers.silentMs(member, now) >= timing.leaseExpiryMs
        if (removal.phase != Phase.Consent || removal.fencedRevision != roster.revision) return false
        return removal.consents.size >= roster.requiredConsents() && removal.consents.values.all { it <= now }
    }

    /**
     * Cancels removals of members whose heartbeats arrive again, and those that lack consents for a lease period and its guard time.
     * Returns whether consents were given at the present revision; the roster revision must then be raised to void them.
     */
    fun cancelObsolete(
        roster: Roster,
        now: Long,
    ): Boolean {
        val over =
            inProgress.values.filter {
                !peers.isSilent(it.member, now) ||
                    (it.phase == Phase.Consent && now - it.consentSince > timing.leaseExpiryMs)
            }
        over.forEach { inProgress.remove(it.member.instance) }
        return over.any { it.fencedRevision == roster.revision && it.consents.isNotEmpty() }
    }

    fun clear() = inProgress.clear()

    fun dump(): List<RemovalDump> = inProgress.values.map { RemovalDump(it.member.instance, it.phase.name, it.consents.keys.sorted()) }
}
