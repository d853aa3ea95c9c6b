/*
 * Totals of the tokens admitted by the members of a group. Each process counts from its own start, so only increases are added up and a
 * restarted process doesn't reduce a total.
 */
package io.skylarkstile.gateway.peer

import io.skylarkstile.gateway.admission.ShareDemand

/** Sums the admitted tokens of all group members by workspace. Not thread-safe. */
internal class AdmittedTotals {
    private class Counts(
        val startedAt: Long,
        val admitted: Map<String, Long>,
    )

    private val last = HashMap<String, Counts>()
    private val totals = HashMap<String, Long>()

    /** Adds what the process of [member] has admitted since its last message. The first message of a process only sets the baseline. */
    fun receive(
        member: String,
        startedAt: Long,
        demands: Map<String, ShareDemand>,
    ) {
        val before = last.put(member, Counts(startedAt, demands.mapValues { it.value.admitted }))?.takeIf { it.startedAt == startedAt }
        demands.forEach { (workspace, demand) ->
            val added = if (before == null) 0 else demand.admitted - (before.admitted[workspace] ?: 0)
            totals.merge(workspace, added, Long::plus)
        }
    }

    /** Forgets the counters of instances other than [members]; what they have admitted stays in the totals. */
    fun retain(members: Set<String>) {
        last.keys.retainAll(members)
    }

    /** Returns the total admitted for [workspace]. */
    fun total(workspace: String): Long = totals[workspace] ?: 0
}
