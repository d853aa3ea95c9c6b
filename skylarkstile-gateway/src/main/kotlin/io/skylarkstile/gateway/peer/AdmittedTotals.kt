/*
 * How much the members of a group have admitted in all. Each process counts from its own start; here only what is added counts, so that a
 * process that starts again takes nothing back.
 */
package io.skylarkstile.gateway.peer

import io.skylarkstile.gateway.admission.ShareDemand

/** Adds up the admissions of processes by workspace. Not thread-safe. */
internal class AdmittedTotals {
    private class Told(
        val startedAt: Long,
        val admitted: Map<String, Long>,
    )

    private val last = HashMap<String, Told>()
    private val totals = HashMap<String, Long>()

    /** Notes what the process of [member] started at [startedAt] has admitted. Its first message only tells where it stands. */
    fun hear(
        member: String,
        startedAt: Long,
        demands: Map<String, ShareDemand>,
    ) {
        val before = last.put(member, Told(startedAt, demands.mapValues { it.value.admitted }))?.takeIf { it.startedAt == startedAt }
        demands.forEach { (workspace, demand) ->
            val added = if (before == null) 0 else demand.admitted - (before.admitted[workspace] ?: 0)
            totals.merge(workspace, added, Long::plus)
        }
    }

    /** Forgets all but [members]; what the others have admitted stays in the totals. */
    fun retain(members: Set<String>) {
        last.keys.retainAll(members)
    }

    /** Returns the total of [workspace]. */
    fun total(workspace: String): Long = totals[workspace] ?: 0
}
