/*
 * Counts requests that had to wait because their adapter was not loaded when they arrived at their target's owner.
 */
package io.skylarkstile.entry.target

import kotlinx.serialization.Serializable

/** Requests started by this instance's targets; [waited] of them waited for a load, [waitedMs] milliseconds in all. */
@Serializable
data class LoadStallsDump(
    val started: Long,
    val waited: Long,
    val waitedMs: Long,
    val longestMs: Long,
)

/** Is shared by all targets of an instance, so that the counts outlast a change of owners. */
internal class LoadStalls {
    private var counts = LoadStallsDump(0, 0, 0, 0)

    /** Counts a request that starts after [ms] milliseconds; [waitedForLoad] tells that its adapter was not loaded on arrival. */
    @Synchronized
    fun started(
        waitedForLoad: Boolean,
        ms: Long,
    ) {
        val stall = if (waitedForLoad) ms else 0L
        counts =
            LoadStallsDump(
                counts.started + 1,
                counts.waited + if (waitedForLoad) 1 else 0,
                counts.waitedMs + stall,
                maxOf(counts.longestMs, stall),
            )
    }

    @Synchronized
    fun dump(): LoadStallsDump = counts
}
