/*
 * Removal of silent members: watch the platform lease, fence it, collect consents, wait for the last vouch, write the roster.
 */
package io.skylarkstile.core.cluster

import io.skylarkstile.schema.generated.ConsentReply
import io.skylarkstile.schema.generated.ConsentRequest
import io.skylarkstile.schema.generated.LeaseRecord
import io.skylarkstile.schema.generated.Member
import io.skylarkstile.schema.generated.Roster
import kotlinx.serialization.Serializable

/** State of one removal. */
@Serializable
data class RemovalDump(
    val instance: String,
    val phase: String,
    val consents: List<String>,
)

/** Runs the removals that instance [self] has begun. */
internal class Removals(
    private val self: String,
    private val timing: ClusterTiming,
    private val book: VouchBook,
) {
    private enum class Phase { FirstRead, SecondRead, Fence, Consent }

    private inner class Case(
        var member: Member,
    ) {
        var phase = Phase.FirstRead
        var version = 0L
        var record: LeaseRecord? = null
        var watchedSince = 0L
        var fencedRevision = -1L
        var busyUntil = Long.MIN_VALUE
        var consentSince = 0L
        val consents = HashMap<String, Long>()
        val askedAt = HashMap<String, Long>()

        fun restart() {
            phase = Phase.FirstRead
            consents.clear()
            askedAt.clear()
        }
    }

    private val cases = LinkedHashMap<String, Case>()

    /** Returns the calls that are due and begins with members that became silent. [shrunkAt] is when the roster last lost a member. */
    fun step(
        roster: Roster,
        shrunkAt: Long,
        now: Long,
    ): List<ClusterAction> {
        cases.values.removeIf { !roster.lists(it.member.instance, it.member.incarnation) }
        // A joining member may have become active since its case began; it then needs consents.
        cases.values.forEach { case -> roster.memberOrNull(case.member.instance)?.let { case.member = it } }
        silent(roster, now).forEach { cases.getOrPut(it.instance) { Case(it) } }
        return cases.values.filter { it.member.counts }.flatMap { advance(it, roster, shrunkAt, now) }
    }

    /** Silent members that this instance should remove: others wait longer according to their rank, so that mostly one of them writes. */
    private fun silent(
        roster: Roster,
        now: Long,
    ): List<Member> {
        val (silent, live) = roster.members.filter { it.instance != self }.partition { book.isSilent(it, now) }
        val rank = live.count { it.counts && it.instance < self }
        return silent.filter { book.silentMs(it, now) >= timing.silenceMs + rank * 2 * timing.leaseMs }
    }

    private fun advance(
        case: Case,
        roster: Roster,
        shrunkAt: Long,
        now: Long,
    ): List<ClusterAction> {
        if (now < case.busyUntil) return emptyList()
        val watched = now - maxOf(case.watchedSince, shrunkAt) >= timing.leaseOverMs
        return when {
            case.phase == Phase.FirstRead -> case.call(now, ClusterAction.ReadLease(case.member))
            case.phase == Phase.SecondRead && watched -> case.call(now, ClusterAction.ReadLease(case.member))
            case.phase == Phase.SecondRead || !watched -> emptyList()
            case.phase == Phase.Fence || case.fencedRevision != roster.revision -> fence(case, roster, now)
            else -> ask(case, roster, now)
        }
    }

    private fun Case.call(
        now: Long,
        action: ClusterAction,
    ): List<ClusterAction> {
        busyUntil = now + timing.leaseMs
        return listOf(action)
    }

    private fun fence(
        case: Case,
        roster: Roster,
        now: Long,
    ): List<ClusterAction> {
        case.consents.clear()
        case.askedAt.clear()
        case.phase = Phase.Fence
        case.fencedRevision = roster.revision
        val old = case.record ?: LeaseRecord(instance = case.member.instance, incarnation = case.member.incarnation, renewals = 0)
        return case.call(now, ClusterAction.Fence(case.member, old.copy(fencedRevision = roster.revision, fencedBy = self), case.version))
    }

    private fun ask(
        case: Case,
        roster: Roster,
        now: Long,
    ): List<ClusterAction> {
        val own = roster.memberOrNull(self)
        if (own != null && own.counts && self !in case.consents) note(case, self, book.consent(case.member, roster, now), now)
        val request =
            ConsentRequest(instance = case.member.instance, incarnation = case.member.incarnation, rosterRevision = roster.revision)
        return roster.members
            .filter { it.counts && it.instance != self && it.instance != case.member.instance && it.instance !in case.consents }
            .filter { now - (case.askedAt[it.instance] ?: (now - timing.heartbeatMs)) >= timing.heartbeatMs }
            .onEach { case.askedAt[it.instance] = now }
            .map { ClusterAction.AskConsent(it.instance, case.member, request) }
    }

    private fun note(
        case: Case,
        from: String,
        reply: ConsentReply,
        now: Long,
    ) {
        if (reply.granted) case.consents[from] = now + maxOf(0, reply.remainingMs + timing.guardMs)
    }

    /** Handles the answer to [ClusterAction.ReadLease]. */
    fun onLeaseRead(
        member: Member,
        record: LeaseRecord?,
        version: Long,
        now: Long,
    ) {
        val case = caseOrNull(member) ?: return
        case.busyUntil = Long.MIN_VALUE
        if (case.phase == Phase.SecondRead && version == case.version) {
            case.phase = Phase.Fence
        } else {
            // A change between the reads means that the member lives on the platform path; the watch begins anew.
            case.version = version
            case.record = record
            case.watchedSince = now
            case.phase = Phase.SecondRead
        }
    }

    /** Handles the answer to [ClusterAction.Fence]. */
    fun onFenced(
        member: Member,
        outcome: WriteOutcome,
        now: Long,
    ) {
        val case = caseOrNull(member) ?: return
        case.busyUntil = Long.MIN_VALUE
        if (outcome is WriteOutcome.Written && case.phase == Phase.Fence) {
            case.version = outcome.version
            case.phase = Phase.Consent
            case.consentSince = now
        } else {
            case.restart()
        }
    }

    /** Handles a consent of [from] that was asked for at [revision]. */
    fun onConsent(
        from: String,
        member: Member,
        revision: Long,
        reply: ConsentReply,
        now: Long,
    ) {
        val case = caseOrNull(member) ?: return
        if (case.phase == Phase.Consent && case.fencedRevision == revision) note(case, from, reply, now)
    }

    /** Handles a call that failed. */
    fun onFailure(member: Member) {
        caseOrNull(member)?.let { it.busyUntil = Long.MIN_VALUE }
    }

    private fun caseOrNull(member: Member) = cases[member.instance]?.takeIf { it.member.incarnation == member.incarnation }

    /** Returns the members that can be removed at [roster] now. One write removes all of them, since each removal restarts the others. */
    fun ready(
        roster: Roster,
        now: Long,
    ): List<Member> = cases.values.filter { isReady(it, roster, now) }.map { it.member }

    private fun isReady(
        case: Case,
        roster: Roster,
        now: Long,
    ): Boolean {
        val member = roster.memberOrNull(case.member.instance)
        if (member == null || member.incarnation != case.member.incarnation) return false
        // A joining member owns nothing, has no share and states no lease in its vouches, so it needs no consent.
        if (!member.counts) return book.silentMs(member, now) >= timing.leaseOverMs
        if (case.phase != Phase.Consent || case.fencedRevision != roster.revision) return false
        return case.consents.size >= roster.consentsNeeded() && case.consents.values.all { it <= now }
    }

    /**
     * Ends removals of members that are heard again, and those that stay short of consents for a whole lease. Returns whether consents were
     * given: the roster revision must then be raised, which ends them.
     */
    fun giveUp(
        roster: Roster,
        now: Long,
    ): Boolean {
        val over =
            cases.values.filter {
                !book.isSilent(it.member, now) ||
                    (it.phase == Phase.Consent && now - it.consentSince > timing.leaseOverMs)
            }
        over.forEach { cases.remove(it.member.instance) }
        return over.any { it.fencedRevision == roster.revision && it.consents.isNotEmpty() }
    }

    fun clear() = cases.clear()

    fun dump(): List<RemovalDump> = cases.values.map { RemovalDump(it.member.instance, it.phase.name, it.consents.keys.sorted()) }
}
