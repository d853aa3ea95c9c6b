/*
 * The lease of this instance, as vouched for by its peers or renewed on the platform. All times are counted from the moment this instance
 * sent its heartbeat or write, so a delay only shortens the lease.
 */
package io.skylarkstile.core.cluster

import io.skylarkstile.schema.generated.Roster
import io.skylarkstile.schema.generated.Vouch

/** Marks a lease that needs no confirmation: the only member of the roster. */
const val UNLIMITED: Long = Long.MAX_VALUE / 4

/** Collects vouches for [self]. */
internal class LeaseTable(
    private val self: String,
    private val timing: ClusterTiming,
) {
    private class Held(
        val incarnation: Long,
    ) {
        var leasedUntil = Long.MIN_VALUE
        var grantedUntil = Long.MIN_VALUE
        var revision = Long.MIN_VALUE
    }

    private val held = HashMap<String, Held>()

    /** End of the platform lease (way 3). */
    var platformUntil: Long = Long.MIN_VALUE

    /** Notes the answer of [from] to a heartbeat that was sent at [sentAt]. An earlier grant stays valid when this one is refused. */
    fun note(
        from: String,
        vouch: Vouch,
        sentAt: Long,
    ) {
        val old = held[from]
        if (old != null && old.incarnation > vouch.incarnation) return
        val entry = old?.takeIf { it.incarnation == vouch.incarnation } ?: Held(vouch.incarnation).also { held[from] = it }
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

    /** Returns the end of the lease by vouches (ways 1 and 2) of the other members of [roster]. */
    fun peersUntil(roster: Roster): Long {
        val others = roster.members.filter { it.instance != self }.map { m -> held[m.instance]?.takeIf { it.incarnation == m.incarnation } }
        val needed = roster.members.size / 2
        if (needed == 0) return UNLIMITED
        val byHalf = others.map { it?.leasedUntil ?: Long.MIN_VALUE }.sortedDescending()[needed - 1]
        val byAll = others.minOf { it?.takeIf { h -> h.revision == roster.revision }?.grantedUntil ?: Long.MIN_VALUE }
        return maxOf(byHalf, byAll)
    }

    fun until(roster: Roster): Long = maxOf(peersUntil(roster), platformUntil)

    /** Forgets everything, for a new incarnation. */
    fun clear() {
        held.clear()
        platformUntil = Long.MIN_VALUE
    }
}
