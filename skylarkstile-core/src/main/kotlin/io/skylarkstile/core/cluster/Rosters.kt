/*
 * Changes of the roster. Each function returns the next roster, or null when the change does not apply; the caller writes the result on
 * condition that the stored version is still the one it read.
 */
package io.skylarkstile.core.cluster

import io.skylarkstile.schema.generated.Member
import io.skylarkstile.schema.generated.Roster

/** The roster before the first member has joined. */
val emptyRoster: Roster = Roster(revision = 0, members = emptyList())

/** Returns the entry of [instance] in any incarnation, or null. */
fun Roster.memberOrNull(instance: String): Member? = members.firstOrNull { it.instance == instance }

/** Returns whether this roster lists [instance] in [incarnation]. */
fun Roster.lists(
    instance: String,
    incarnation: Long,
): Boolean = memberOrNull(instance)?.incarnation == incarnation

/** Whether consents of and for this member are counted: it or an earlier incarnation of it has been active. */
val Member.isVoting: Boolean get() = state != Member.State.Joining || successor == true

private fun Roster.next(members: List<Member>) = Roster(revision = revision + 1, members = members)

/**
 * Adds [member] as joining. It takes the place of an earlier incarnation that was joining or had the same peer address: only one process
 * can listen on an address, so the earlier one has exited. An earlier incarnation at another address has to be removed first.
 */
fun Roster.joinOrNull(member: Member): Roster? {
    val old = memberOrNull(member.instance)
    val joining = member.copy(state = Member.State.Joining, successor = if (old?.isVoting == true) true else null)
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

/** Marks a member as leaving when it begins a graceful shutdown. */
fun Roster.markLeavingOrNull(
    instance: String,
    incarnation: Long,
): Roster? = withState(instance, incarnation, Member.State.Leaving)

/** Removes the members [gone]; entries of another incarnation stay. */
fun Roster.removeOrNull(gone: Collection<Member>): Roster? {
    val rest = members.filterNot { m -> gone.any { it.instance == m.instance && it.incarnation == m.incarnation } }
    return if (rest.size == members.size) null else next(rest)
}

/** Raises the revision without another change, which voids all consents given at the present revision. */
fun Roster.withNextRevision(): Roster = next(members)

/** Returns the number of consents that a removal needs: half of the voting members, rounded up. */
fun Roster.requiredConsents(): Int = (members.count { it.isVoting } + 1) / 2
