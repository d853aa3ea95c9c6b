/*
 * Changes of the roster. Each returns the next roster, or null when the change does not apply; the caller writes it conditionally on the
 * version it read.
 */
package io.skylarkstile.core.cluster

import io.skylarkstile.schema.generated.Member
import io.skylarkstile.schema.generated.Roster

/** The roster before the first member. */
val emptyRoster: Roster = Roster(revision = 0, members = emptyList())

/** Returns the entry of [instance], in any incarnation. */
fun Roster.memberOrNull(instance: String): Member? = members.firstOrNull { it.instance == instance }

/** Returns whether this roster lists [instance] in [incarnation]. */
fun Roster.lists(
    instance: String,
    incarnation: Long,
): Boolean = memberOrNull(instance)?.incarnation == incarnation

/** Returns whether the member counts in consents: it, or an earlier incarnation of it, was active. */
val Member.counts: Boolean get() = state != Member.State.Joining || successor == true

private fun Roster.next(members: List<Member>) = Roster(revision = revision + 1, members = members)

/**
 * Adds [member] as joining. It takes the place of an earlier incarnation that was joining or had the same peer address: only one process
 * can listen on an address, so the earlier one has ended. An earlier incarnation at another address has to be removed first.
 */
fun Roster.joinOrNull(member: Member): Roster? {
    val old = memberOrNull(member.instance)
    val joining = member.copy(state = Member.State.Joining, successor = if (old?.counts == true) true else null)
    return when {
        old == null -> next(members + joining)
        old.incarnation >= member.incarnation -> null
        old.state != Member.State.Joining && old.peerAddress != member.peerAddress -> null
        else -> next(members.map { if (it === old) joining else it })
    }
}

private fun Roster.withState(
    instance: String,
    incarnation: Long,
    state: Member.State,
): Roster? = if (!lists(instance, incarnation) || memberOrNull(instance)?.state == state) {
    null
} else {
    next(members.map { if (it.instance == instance) it.copy(state = state, successor = null) else it })
}

/** Makes a joining member active. */
fun Roster.activateOrNull(
    instance: String,
    incarnation: Long,
): Roster? = if (memberOrNull(instance)?.state == Member.State.Joining) withState(instance, incarnation, Member.State.Active) else null

/** Marks a member that begins a graceful shutdown. */
fun Roster.leavingOrNull(
    instance: String,
    incarnation: Long,
): Roster? = withState(instance, incarnation, Member.State.Leaving)

/** Removes [gone]; members in another incarnation stay. */
fun Roster.removeOrNull(gone: Collection<Member>): Roster? {
    val rest = members.filterNot { m -> gone.any { it.instance == m.instance && it.incarnation == m.incarnation } }
    return if (rest.size == members.size) null else next(rest)
}

/** Raises the revision without another change: this ends all consents given at the present revision. */
fun Roster.bump(): Roster = next(members)

/** Returns the number of consents that a removal needs: half of the members that count. */
fun Roster.consentsNeeded(): Int = (members.count { it.counts } + 1) / 2
