/*
 * Statistics of requests that waited because their adapter was not loaded when they arrived at the owner of their target.
 */
package io.skylarkstile.entry.target

import kotlinx.serialization.Serializable

/** Counts the requests that the targets of this instance started; [waited] of them waited for a load, [waitedMs] milliseconds in total. */
@Serializable
data class LoadStallsDump(
    val started: Long,
    val waited: Long,
    val waitedMs: Long,
    val longestMs: Long,
)

/** Collects [LoadStallsDump]. All targets of an instance share one object, so that the counts survive a change of ownership. */
internal class LoadStalls {
    private var counts = LoadStallsDump(0, 0, 0, 0)

    /** Counts a request started [waitMs] milliseconds after its arrival; [waitedForLoad] tells whether its adapter was missing then. */
    @Synchronized
    fun recordStart(
        waitedForLoad: Boolean,
        waitMs: Long,
    ) {
        val stalledMs = if (waitedForLoad) waitMs else 0L
        counts =
            LoadStallsDump(
                counts.started + 1,
                counts.waited + if (waitedForLoad) 1 else 0,
                counts.waitedMs + stalledMs,
                maxOf(counts.longestMs, stalledMs),
            )
    }

    @Synchronized
    fun dump(): LoadStallsDump = counts
}
