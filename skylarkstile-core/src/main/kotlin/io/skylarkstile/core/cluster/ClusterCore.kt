/*
 * The membership logic of one instance without input and output: messages and results go in, [ClusterAction]s come out. Not thread-safe;
 * the caller holds a lock. All times are milliseconds of the monotonic clock.
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

/** Runs the protocol for the member [me]; its incarnation changes with [rejoin]. */
class ClusterCore(
    me: Member,
    private val timing: ClusterTiming,
) {
    private enum class Intent { Stay, Leave, Gone }

    var me: Member = me
        private set
    val self: String = me.instance
    var roster: Roster = emptyRoster
        private set

    private val leases = LeaseTable(self, timing)
    private val platform = PlatformLease(self, timing)
    private val book = VouchBook(timing)
    private val removals = Removals(self, timing, book)
    private val table = OwnershipTable(self)

    private var intent = Intent.Stay

    /** Version of `roster/main` that [roster] was read at; null when it came from a peer. */
    private var version: Long? = null
    private var rosterBusyUntil = Long.MIN_VALUE
    private var rosterReadAt = Long.MIN_VALUE / 2
    private var wantedRevision = 0L
    private var reporter: String? = null
    private var listedAt = Long.MAX_VALUE
    private var shrunkAt = Long.MIN_VALUE / 2
    private var refusedRevision = -1L
    private var sequence = 0L
    private var confirmedAt = Long.MIN_VALUE / 2
    private var tickedAt = Long.MIN_VALUE
    private var everListed = false

    /** Set after a pause beyond the lease until the roster was read or could not be read. */
    private var suspended = false
    private var pausedOut = false

    /** Returns whether the roster lists this incarnation. */
    fun isListed(): Boolean = roster.lists(self, me.incarnation)

    private fun own(): Member? = roster.memberOrNull(self)?.takeIf { it.incarnation == me.incarnation }

    fun isActive(): Boolean = own()?.state == Member.State.Active

    /** Returns the end of the lease; `Long.MIN_VALUE` without one. Joining members have none. */
    fun leaseUntil(): Long {
        val member = own()
        val has = member != null && member.state != Member.State.Joining && intent != Intent.Gone && !suspended && !pausedOut
        return if (has) leases.until(roster) else Long.MIN_VALUE
    }

    fun hasLease(now: Long): Boolean = leaseUntil() > now

    /** Returns the time since the last valid confirmation of the lease was sent; it is counted beyond a lapse. */
    fun unconfirmedMs(now: Long): Long {
        val until = leaseUntil()
        if (until > now) confirmedAt = maxOf(confirmedAt, minOf(now, until - timing.leaseMs))
        return now - confirmedAt
    }

    /** Returns whether the lease has to be renewed on the platform, since vouches run out within half a lease. */
    private fun needsPlatform(now: Long): Boolean =
        own().let { it != null && it.state != Member.State.Joining } && leases.peersUntil(roster) < now + timing.leaseMs / 2

    /** Takes over a newer [next] roster, read at [nextVersion] or received from a peer. Returns whether it was newer. */
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
        if (roster.members.any { m -> m.counts && !next.lists(m.instance, m.incarnation) } || roster.revision == 0L) shrunkAt = now
        roster = next
        version = nextVersion
        book.adopt(next, now)
        listedAt = if (isListed()) minOf(listedAt, next.revision) else Long.MAX_VALUE
        everListed = everListed || isListed()
        return Adoption(true, table.adopt(ownableRoster(), resources, snapshot))
    }

    /** The roster for ownership: without its own entry this instance owns nothing. */
    private fun ownableRoster(): Roster = if (isListed()) roster else roster.copy(members = roster.members.filter { it.instance != self })

    /** Result of [adopt]: [released] resources must stop before the next heartbeat. */
    data class Adoption(
        val changed: Boolean,
        val released: List<Resource>,
    )

    private fun onRosterRead() {
        rosterBusyUntil = Long.MIN_VALUE
        pausedOut = pausedOut || suspended
        suspended = false
    }

    /**
     * Takes over the resources of a snapshot that has not changed up to revision [known]; returns what has to be released before the next
     * heartbeat.
     */
    fun refresh(
        resources: List<Resource>,
        snapshot: Long,
        known: Long = snapshot,
    ): List<Resource> = table.adopt(ownableRoster(), resources, snapshot).also { table.knownUpTo(known) }

    /** Builds the heartbeat to [peer]. */
    fun heartbeat(
        peer: String,
        snapshot: Long,
        platformReachable: Boolean,
    ): Heartbeat {
        val (releasedRoster, releasedSnapshot) = table.statementFor(peer)
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

    /** Handles a heartbeat and returns the answer to it. */
    fun onHeartbeat(
        from: String,
        heartbeat: Heartbeat,
        snapshot: Long,
        now: Long,
    ): Vouch {
        noteRevision(from, heartbeat.rosterRevision)
        book.confirm(from, heartbeat.incarnation, heartbeat.rosterRevision)
        table.noteHeartbeat(from, heartbeat)
        val granted = isListed() && book.vouch(from, heartbeat.incarnation, roster, now)
        return Vouch(
            incarnation = me.incarnation,
            sequence = heartbeat.sequence,
            granted = granted,
            leased = hasLease(now),
            rosterRevision = roster.revision,
            snapshotRevision = snapshot,
        )
    }

    /** Handles the answer to a heartbeat that was sent at [sentAt] by incarnation [asked]. */
    fun onVouch(
        from: String,
        vouch: Vouch,
        sentAt: Long,
        asked: Long,
    ) {
        if (asked != me.incarnation) return
        noteRevision(from, vouch.rosterRevision)
        book.confirm(from, vouch.incarnation, vouch.rosterRevision)
        leases.note(from, vouch, sentAt)
        if (!vouch.granted && roster.lists(from, vouch.incarnation)) refusedRevision = vouch.rosterRevision
    }

    private fun noteRevision(
        from: String,
        revision: Long,
    ) {
        if (revision > maxOf(wantedRevision, roster.revision)) {
            wantedRevision = revision
            reporter = from
        }
    }

    /** Answers a request for consent. */
    fun onConsentRequest(
        request: ConsentRequest,
        now: Long,
    ): ConsentReply {
        val member = roster.memberOrNull(request.instance)
        val current = request.rosterRevision == roster.revision && member?.incarnation == request.incarnation
        val may = current && own()?.counts == true && request.instance != self
        return if (member != null && may) book.consent(member, roster, now) else ConsentReply(granted = false, remainingMs = 0)
    }

    /** Returns the calls that are due; called each heartbeat interval or more often. */
    fun tick(now: Long): List<ClusterAction> {
        notePause(now)
        unconfirmedMs(now)
        val actions = ArrayList<ClusterAction>()
        readRoster(now)?.let { actions += it }
        platform.nextOrNull(now, me.incarnation, roster.revision, needsPlatform(now))?.let { actions += it }
        if (mayRemove(now)) actions += removals.step(roster, shrunkAt, now) else removals.clear()
        writeRoster(now)?.let { actions += it }
        return actions
    }

    /** After a pause beyond its lease this instance claims nothing until it has read the roster. */
    private fun notePause(now: Long) {
        val paused = tickedAt != Long.MIN_VALUE && now - tickedAt > timing.leaseMs
        tickedAt = now
        if (!paused) return
        suspended = own().let { it != null && it.state != Member.State.Joining } && leaseUntil() <= now
        removals.clear()
    }

    /** Returns whether this instance was removed or paused beyond its lease, so that it has to join as a new incarnation. */
    fun mustRejoin(): Boolean {
        val removed = everListed && !isListed()
        val superseded = (roster.memberOrNull(self)?.incarnation ?: 0) > me.incarnation
        return intent == Intent.Stay && (removed || superseded || pausedOut)
    }

    private fun mayRemove(now: Long): Boolean {
        val member = own() ?: return false
        // Joining members may remove each other as long as nobody was ever active, or a dead first joiner would block the cluster.
        return hasLease(now) || member.successor == true || roster.members.none { it.counts }
    }

    private fun readRoster(now: Long): ClusterAction? {
        val behind = wantedRevision > roster.revision || version == null || suspended
        val lapsed = !hasLease(now) && now - rosterReadAt >= 2 * timing.heartbeatMs
        if (now < rosterBusyUntil || !(behind || lapsed) || now - rosterReadAt < timing.heartbeatMs) return null
        rosterReadAt = now
        rosterBusyUntil = now + timing.leaseMs
        return ClusterAction.ReadRoster(reporter)
    }

    private fun writeRoster(now: Long): ClusterAction? {
        val known = version
        if (known == null || now < rosterBusyUntil || wantedRevision > roster.revision || suspended) return null
        val next = nextRosterOrNull(now) ?: return null
        rosterBusyUntil = now + timing.leaseMs
        return ClusterAction.WriteRoster(next, known)
    }

    private fun nextRosterOrNull(now: Long): Roster? {
        val voids = removals.giveUp(roster, now)
        val member = own()
        val gone = if (mayRemove(now)) removals.ready(roster, now) else emptyList()
        return when {
            intent == Intent.Gone -> member?.let { roster.removeOrNull(listOf(it)) }
            member == null -> if (intent == Intent.Stay && !mustRejoin()) roster.joinOrNull(me) else null
            gone.isNotEmpty() -> roster.removeOrNull(gone)
            intent == Intent.Leave && member.state != Member.State.Leaving -> roster.leavingOrNull(self, me.incarnation)
            mayActivate(member) -> roster.activateOrNull(self, me.incarnation)
            voids || isRefused() -> roster.bump()
            else -> null
        }
    }

    private fun mayActivate(member: Member): Boolean =
        intent == Intent.Stay && member.state == Member.State.Joining && book.allConfirmed(roster, self, listedAt)

    /** A peer has consented to the removal of this instance or its platform lease is fenced, but it lives: a higher revision ends both. */
    private fun isRefused(): Boolean = refusedRevision == roster.revision || platform.fencedAt.let { it != null && it >= roster.revision }

    /** Handles a failed read of the roster. */
    fun onRosterFailure() {
        rosterBusyUntil = Long.MIN_VALUE
        // Without the platform nobody can have been removed since the pause unnoticed by the peers, whose vouches decide.
        suspended = false
    }

    /** Handles the answer to [ClusterAction.WriteRoster]; after anything but success the roster is read again. */
    fun onRosterWritten(
        outcome: WriteOutcome,
        written: Roster,
        resources: List<Resource>,
        snapshot: Long,
        now: Long,
    ): Adoption {
        rosterBusyUntil = Long.MIN_VALUE
        if (outcome is WriteOutcome.Written) return adopt(written, outcome.version, resources, snapshot, now)
        version = null
        return Adoption(false, emptyList())
    }

    fun onOwnLeaseRead(
        record: LeaseRecord?,
        leaseVersion: Long,
    ) = platform.onRead(record, leaseVersion, roster.revision)

    fun onOwnLeaseWritten(
        outcome: WriteOutcome,
        incarnation: Long,
    ) {
        val until = platform.onWritten(outcome)
        if (incarnation == me.incarnation) leases.platformUntil = maxOf(leases.platformUntil, until)
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

    /** Begins as a new incarnation; returns the resources that were held. */
    fun rejoin(incarnation: Long): List<Resource> {
        me = me.copy(incarnation = incarnation)
        leases.clear()
        removals.clear()
        listedAt = Long.MAX_VALUE
        everListed = false
        pausedOut = false
        refusedRevision = -1
        version = null
        return table.clear()
    }

    /** Begins a graceful shutdown: ownership moves away once the roster shows it. */
    fun leave() {
        if (intent == Intent.Stay) intent = Intent.Leave
    }

    /** Ends the membership: gives up the lease for good and leaves the roster. Returns the resources that were held. */
    fun depart(): List<Resource> {
        intent = Intent.Gone
        return table.clear()
    }

    fun isLeaving(): Boolean = own()?.state == Member.State.Leaving

    /** Returns whether every other member has a roster that shows this instance as leaving, so that none gives out its address. */
    fun isLeavingKnown(): Boolean = isLeaving() && book.allConfirmed(roster, self, roster.revision)

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
    ) = table.noteRelease(from, release)

    /** Returns resources that may be owned from now on, marked as held. */
    fun acquire(now: Long): List<Resource> = if (isActive() && hasLease(now)) table.acquire() else emptyList()

    fun ownership(resource: Resource): Ownership = table.ownership(resource)

    fun heldResources(): Map<Resource, Long> = table.heldResources()

    fun foreignPins(resource: Resource): Map<String, Int> = table.foreignPins(resource)

    fun removalDumps(): List<RemovalDump> = removals.dump()
}
