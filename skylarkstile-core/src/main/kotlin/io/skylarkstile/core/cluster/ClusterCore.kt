/*
 * The membership protocol of one instance as a state machine without I/O: messages and results go in, [ClusterAction]s come out. It is not
 * thread-safe, so the caller holds a lock. All times are milliseconds of the monotonic clock.
 */
package io.skylarkstile.core.cluster

import io.skylarkstile.schema.generated.ConsentReply
import io.skylarkstile.schema.generated.ConsentRequest
import io.skylarkstile.schema.generated.Heartbeat
import io.skylarkstile.schema.generated.LeaseRecord
import io.skylarkstile.schema.generated.Member
import io.skylarkstile.schema.generated.Release
import io.skylarkstile.schema.generated.Roster
import io.skylarkstile.schema.generated.Vouch

/** Runs the membership protocol for the member [me], whose incarnation changes with each [rejoin]. */
class ClusterCore(
    me: Member,
    private val timing: ClusterTiming,
) {
    private enum class Intent { Stay, Leave, Departed }

    var me: Member = me
        private set
    val self: String = me.instance
    var roster: Roster = emptyRoster
        private set

    private val lease = InstanceLease(self, timing)
    private val platform = PlatformLease(self, timing)
    private val peers = PeerTracker(timing)
    private val removals = Removals(self, timing, peers)
    private val table = OwnershipTable(self)

    private var intent = Intent.Stay

    /** Version of `roster/main` at which [roster] was read or written; null when it came from a peer or has to be read again. */
    private var version: Long? = null

    /** No other roster call starts before this time, unless the pending one ends earlier. */
    private var rosterCallPendingUntil = Long.MIN_VALUE
    private var rosterReadAt = Long.MIN_VALUE / 2

    /** Highest roster revision that a peer has reported, and the peer that reported it. */
    private var reportedRevision = 0L
    private var reportedBy: String? = null

    /** First roster revision that lists this incarnation. */
    private var listedSinceRevision = Long.MAX_VALUE

    /** Time at which this instance adopted its first roster or last saw a voting member removed. */
    private var lastRemovalAt = Long.MIN_VALUE / 2

    /** Roster revision at which a listed peer last refused to vouch for this instance. */
    private var vouchRefusedRevision = -1L
    private var sequence = 0L
    private var confirmedAt = Long.MIN_VALUE / 2
    private var lastTickAt = Long.MIN_VALUE

    /** Whether an adopted roster has listed this incarnation. */
    private var wasListed = false

    /** Set when the lease lapsed during a pause of this process, until the next read of the roster succeeds or fails. */
    private var awaitsRosterAfterPause = false

    /** Set when the roster was read after such a pause; this instance then has to rejoin. */
    private var hasLostLeaseInPause = false

    /** Returns whether the roster lists this incarnation. */
    fun isListed(): Boolean = roster.lists(self, me.incarnation)

    private fun ownMember(): Member? = roster.memberOrNull(self)?.takeIf { it.incarnation == me.incarnation }

    fun isActive(): Boolean = ownMember()?.state == Member.State.Active

    /** Returns the time at which the lease ends, or `Long.MIN_VALUE` without a lease. Joining members have none. */
    fun leaseUntil(): Long {
        val member = ownMember()
        val canHoldLease =
            member != null &&
                member.state != Member.State.Joining &&
                intent != Intent.Departed &&
                !awaitsRosterAfterPause &&
                !hasLostLeaseInPause
        return if (canHoldLease) lease.until(roster) else Long.MIN_VALUE
    }

    fun hasLease(now: Long): Boolean = leaseUntil() > now

    /** Returns the milliseconds since the latest confirmed heartbeat or renewal was sent. They keep counting after the lease has lapsed. */
    fun unconfirmedMs(now: Long): Long {
        val until = leaseUntil()
        if (until > now) confirmedAt = maxOf(confirmedAt, minOf(now, until - timing.leaseMs))
        return now - confirmedAt
    }

    /** Returns whether the lease has to be renewed on the platform, because the vouches of peers end within half a lease period. */
    private fun needsPlatform(now: Long): Boolean =
        ownMember().let { it != null && it.state != Member.State.Joining } && lease.peerLeaseUntil(roster) < now + timing.leaseMs / 2

    /**
     * Adopts [next] if it is newer than the present roster. [nextVersion] is the version of `roster/main` it was read at, or null when it
     * came from a peer; [resources] are those of snapshot revision [snapshot].
     */
    fun adopt(
        next: Roster,
        nextVersion: Long?,
        resources: List<Resource>,
        snapshot: Long,
        now: Long,
    ): Adoption {
        if (nextVersion != null) onRosterRead()
        if (next.revision == roster.revision && nextVersion != null) version = nextVersion
        if (next.revision <= roster.revision) return Adoption(false, emptyList())
        if (roster.members.any { m -> m.isVoting && !next.lists(m.instance, m.incarnation) } || roster.revision == 0L) lastRemovalAt = now
        roster = next
        version = nextVersion
        peers.adopt(next, now)
        listedSinceRevision = if (isListed()) minOf(listedSinceRevision, next.revision) else Long.MAX_VALUE
        wasListed = wasListed || isListed()
        return Adoption(true, table.adopt(ownableRoster(), resources, snapshot))
    }

    /** Returns the roster that ownership is computed from. It omits this instance unless it lists the current incarnation. */
    private fun ownableRoster(): Roster = if (isListed()) roster else roster.copy(members = roster.members.filter { it.instance != self })

    /** Result of [adopt]. Work on the [released] resources has to stop before the next heartbeat is sent. */
    data class Adoption(
        val changed: Boolean,
        val released: List<Resource>,
    )

    private fun onRosterRead() {
        rosterCallPendingUntil = Long.MIN_VALUE
        hasLostLeaseInPause = hasLostLeaseInPause || awaitsRosterAfterPause
        awaitsRosterAfterPause = false
    }

    /**
     * Adopts the [resources] of the snapshot at revision [snapshot], which are unchanged through revision [known]. Returns the resources
     * that have to be released before the next heartbeat.
     */
    fun refresh(
        resources: List<Resource>,
        snapshot: Long,
        known: Long = snapshot,
    ): List<Resource> = table.adopt(ownableRoster(), resources, snapshot).also { table.markUnchangedTo(known) }

    /** Creates the next heartbeat to [peer]. */
    fun heartbeat(
        peer: String,
        snapshot: Long,
        platformReachable: Boolean,
    ): Heartbeat {
        val (releasedRoster, releasedSnapshot) = table.releasedRevisionsFor(peer)
        return Heartbeat(
            incarnation = me.incarnation,
            sequence = ++sequence,
            rosterRevision = roster.revision,
            snapshotRevision = snapshot,
            releasedRevision = releasedRoster,
            releasedSnapshot = releasedSnapshot,
            platformReachable = platformReachable,
        )
    }

    /** Handles a heartbeat of [from] and returns the reply. */
    fun onHeartbeat(
        from: String,
        heartbeat: Heartbeat,
        snapshot: Long,
        now: Long,
    ): Vouch {
        recordReportedRevision(from, heartbeat.rosterRevision)
        peers.recordAdopted(from, heartbeat.incarnation, heartbeat.rosterRevision)
        table.recordHeartbeat(from, heartbeat)
        val granted = isListed() && peers.vouch(from, heartbeat.incarnation, roster, now)
        return Vouch(
            incarnation = me.incarnation,
            sequence = heartbeat.sequence,
            granted = granted,
            leased = hasLease(now),
            rosterRevision = roster.revision,
            snapshotRevision = snapshot,
        )
    }

    /** Handles the reply to a heartbeat that incarnation [asked] of this instance sent at [sentAt]. */
    fun onVouch(
        from: String,
        vouch: Vouch,
        sentAt: Long,
        asked: Long,
    ) {
        if (asked != me.incarnation) return
        recordReportedRevision(from, vouch.rosterRevision)
        peers.recordAdopted(from, vouch.incarnation, vouch.rosterRevision)
        lease.recordVouch(from, vouch, sentAt)
        if (!vouch.granted && roster.lists(from, vouch.incarnation)) vouchRefusedRevision = vouch.rosterRevision
    }

    private fun recordReportedRevision(
        from: String,
        revision: Long,
    ) {
        if (revision > maxOf(reportedRevision, roster.revision)) {
            reportedRevision = revision
            reportedBy = from
        }
    }

    /** Answers a request for consent to the removal of a member. */
    fun onConsentRequest(
        request: ConsentRequest,
        now: Long,
    ): ConsentReply {
        val member = roster.memberOrNull(request.instance)
        val current = request.rosterRevision == roster.revision && member?.incarnation == request.incarnation
        val mayGrant = current && ownMember()?.isVoting == true && request.instance != self
        return if (member != null && mayGrant) peers.consent(member, roster, now) else ConsentReply(granted = false, remainingMs = 0)
    }

    /** Returns the calls that are due. It has to be called once per heartbeat interval or more often. */
    fun tick(now: Long): List<ClusterAction> {
        detectPause(now)
        unconfirmedMs(now)
        val actions = ArrayList<ClusterAction>()
        readRoster(now)?.let { actions += it }
        platform.nextOrNull(now, me.incarnation, roster.revision, needsPlatform(now))?.let { actions += it }
        if (mayRemove(now)) actions += removals.step(roster, lastRemovalAt, now) else removals.clear()
        writeRoster(now)?.let { actions += it }
        return actions
    }

    /**
     * Detects a pause of this process longer than a lease period. If the lease lapsed meanwhile, this instance claims none until a read of
     * the roster has succeeded or failed.
     */
    private fun detectPause(now: Long) {
        val paused = lastTickAt != Long.MIN_VALUE && now - lastTickAt > timing.leaseMs
        lastTickAt = now
        if (!paused) return
        awaitsRosterAfterPause = ownMember().let { it != null && it.state != Member.State.Joining } && leaseUntil() <= now
        removals.clear()
    }

    /** Returns whether this instance was removed or paused beyond its lease, so that it has to join as a new incarnation. */
    fun mustRejoin(): Boolean {
        val removed = wasListed && !isListed()
        val superseded = (roster.memberOrNull(self)?.incarnation ?: 0) > me.incarnation
        return intent == Intent.Stay && (removed || superseded || hasLostLeaseInPause)
    }

    private fun mayRemove(now: Long): Boolean {
        val member = ownMember() ?: return false
        // Without a voting member, joining members may remove each other; otherwise a dead first joiner would block the cluster for good.
        return hasLease(now) || member.successor == true || roster.members.none { it.isVoting }
    }

    private fun readRoster(now: Long): ClusterAction? {
        val behind = reportedRevision > roster.revision || version == null || awaitsRosterAfterPause
        val lapsed = !hasLease(now) && now - rosterReadAt >= 2 * timing.heartbeatMs
        if (now < rosterCallPendingUntil || !(behind || lapsed) || now - rosterReadAt < timing.heartbeatMs) return null
        rosterReadAt = now
        rosterCallPendingUntil = now + timing.leaseMs
        return ClusterAction.ReadRoster(reportedBy)
    }

    private fun writeRoster(now: Long): ClusterAction? {
        val known = version
        if (known == null || now < rosterCallPendingUntil || reportedRevision > roster.revision || awaitsRosterAfterPause) return null
        val next = nextRosterOrNull(now) ?: return null
        rosterCallPendingUntil = now + timing.leaseMs
        return ClusterAction.WriteRoster(next, known)
    }

    private fun nextRosterOrNull(now: Long): Roster? {
        val mustVoidConsents = removals.cancelObsolete(roster, now)
        val member = ownMember()
        val removable = if (mayRemove(now)) removals.ready(roster, now) else emptyList()
        return when {
            intent == Intent.Departed -> member?.let { roster.removeOrNull(listOf(it)) }
            member == null -> if (intent == Intent.Stay && !mustRejoin()) roster.joinOrNull(me) else null
            removable.isNotEmpty() -> roster.removeOrNull(removable)
            intent == Intent.Leave && member.state != Member.State.Leaving -> roster.markLeavingOrNull(self, me.incarnation)
            mayActivate(member) -> roster.activateOrNull(self, me.incarnation)
            mustVoidConsents || isBeingRemoved() -> roster.withNextRevision()
            else -> null
        }
    }

    private fun mayActivate(member: Member): Boolean =
        intent == Intent.Stay && member.state == Member.State.Joining && peers.haveAllAdopted(roster, self, listedSinceRevision)

    /**
     * Returns whether a removal of this live instance is in progress: a peer has consented to it or the platform lease is fenced. Raising
     * the roster revision cancels both.
     */
    private fun isBeingRemoved(): Boolean =
        vouchRefusedRevision == roster.revision || platform.fencedAtRevision.let { it != null && it >= roster.revision }

    /** Handles a failed read of the roster from the platform. */
    fun onRosterFailure() {
        rosterCallPendingUntil = Long.MIN_VALUE
        // While the platform is unreachable, peers know of every removal since the pause, so their vouches alone decide on the lease.
        awaitsRosterAfterPause = false
    }

    /** Handles the outcome of [ClusterAction.WriteRoster]. Unless the write succeeded, the roster is read again. */
    fun onRosterWritten(
        outcome: WriteOutcome,
        written: Roster,
        resources: List<Resource>,
        snapshot: Long,
        now: Long,
    ): Adoption {
        rosterCallPendingUntil = Long.MIN_VALUE
        if (outcome is WriteOutcome.Written) return adopt(written, outcome.version, resources, snapshot, now)
        version = null
        return Adoption(false, emptyList())
    }

    /** Handles the answer to [ClusterAction.ReadOwnLease]; [record] is null when the object does not exist. */
    fun onOwnLeaseRead(
        record: LeaseRecord?,
        leaseVersion: Long,
    ) = platform.onRead(record, leaseVersion, roster.revision)

    /** Handles the outcome of [ClusterAction.WriteOwnLease] that was requested by [incarnation]. */
    fun onOwnLeaseWritten(
        outcome: WriteOutcome,
        incarnation: Long,
    ) {
        val until = platform.onWritten(outcome)
        if (incarnation == me.incarnation) lease.platformLeaseUntil = maxOf(lease.platformLeaseUntil, until)
    }

    fun onOwnLeaseFailure() = platform.onFailure()

    fun onLeaseRead(
        member: Member,
        record: LeaseRecord?,
        leaseVersion: Long,
        now: Long,
    ) = removals.onLeaseRead(member, record, leaseVersion, now)

    fun onFenced(
        member: Member,
        outcome: WriteOutcome,
        now: Long,
    ) = removals.onFenced(member, outcome, now)

    fun onLeaseFailure(member: Member) = removals.onFailure(member)

    fun onConsent(
        from: String,
        member: Member,
        request: ConsentRequest,
        reply: ConsentReply,
        now: Long,
    ) = removals.onConsent(from, member, request.rosterRevision, reply, now)

    /** Starts over as a new [incarnation] and returns the resources that were held. */
    fun rejoin(incarnation: Long): List<Resource> {
        me = me.copy(incarnation = incarnation)
        lease.clear()
        removals.clear()
        listedSinceRevision = Long.MAX_VALUE
        wasListed = false
        hasLostLeaseInPause = false
        vouchRefusedRevision = -1
        version = null
        return table.clear()
    }

    /** Begins a graceful shutdown. Resources move to other members once the roster lists this instance as leaving. */
    fun leave() {
        if (intent == Intent.Stay) intent = Intent.Leave
    }

    /** Ends the membership: gives up the lease for good and removes this instance from the roster. Returns the resources that were held. */
    fun depart(): List<Resource> {
        intent = Intent.Departed
        return table.clear()
    }

    fun isLeaving(): Boolean = ownMember()?.state == Member.State.Leaving

    /** Returns whether all other members have adopted a roster that lists this instance as leaving, so that none hands out its address. */
    fun isLeavingKnown(): Boolean = isLeaving() && peers.haveAllAdopted(roster, self, roster.revision)

    fun drain(
        resource: Resource,
        pins: Map<String, Int>,
    ) = table.drain(resource, pins)

    fun stillPinned(): List<Resource> = table.stillPinned()

    fun releases(): List<ReleaseOrder> = table.releases()

    fun onReleaseAcknowledged(order: ReleaseOrder) = table.acknowledged(order)

    fun onRelease(
        from: String,
        release: Release,
    ) = table.recordRelease(from, release)

    /** Marks the resources that this instance may own from now on as held and returns them. */
    fun acquire(now: Long): List<Resource> = if (isActive() && hasLease(now)) table.acquire() else emptyList()

    fun ownership(resource: Resource): Ownership = table.ownership(resource)

    fun heldResources(): Map<Resource, Long> = table.heldResources()

    fun foreignPins(resource: Resource): Map<String, Int> = table.foreignPins(resource)

    fun removalDumps(): List<RemovalDump> = removals.dump()
}
