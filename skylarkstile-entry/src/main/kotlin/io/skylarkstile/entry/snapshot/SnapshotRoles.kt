/*
 * Selects the members that watch the object API and those that poll its instance list, so that platform calls do not grow with the fleet.
 */
package io.skylarkstile.entry.snapshot

import io.skylarkstile.schema.generated.Member
import java.util.zip.CRC32

/** Number of active members up to which all of them watch. */
private const val MAX_MEMBERS_ALL_WATCH = 6

/** Number of watchers per data centre in a larger fleet; with two, one may fail without a gap. */
private const val WATCHERS_PER_DATA_CENTRE = 2

/** Number of members that poll the instance list. */
private const val POLLER_COUNT = 2

/** Returns the names of the members that watch the object API. */
internal fun watchers(members: List<Member>): Set<String> {
    val active = ranked(members)
    if (active.size <= MAX_MEMBERS_ALL_WATCH) return active.map { it.instance }.toSet()
    return active
        .groupBy { it.dataCentre }
        .values
        .flatMap { it.take(WATCHERS_PER_DATA_CENTRE) }
        .map { it.instance }
        .toSet()
}

/** Returns the names of the members that poll the instance list. */
internal fun pollers(members: List<Member>): Set<String> = ranked(members).take(POLLER_COUNT).map { it.instance }.toSet()

private fun ranked(members: List<Member>): List<Member> =
    members.filter { it.state == Member.State.Active }.sortedWith(compareBy({ rank(it.instance) }, { it.instance }))

private fun rank(instance: String): Long = CRC32().apply { update(instance.toByteArray()) }.value
