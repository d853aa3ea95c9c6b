/*
 * Timing of store watches, and whether an instance reads the store itself or relies on the views of its peers.
 */
package io.skylarkstile.gateway.store

/** Determines the timing of a [StoreWatch]. Times are in milliseconds. */
interface WatchTiming {
    /** Maximum wait of one watch. */
    val waitMs: Long

    /** Pause after a change, so that further changes are read in the same answer. */
    val pauseMs: Long

    /** Time for which a removal soon after an outage of the store may still be undone, if the first answer after it had the object. */
    val removalGraceMs: Long

    /** True while other instances rely on this view, so that it has to be confirmed soon after a change. */
    val confirmsSoon: Boolean get() = false

    /** True while this instance may rely on the views of its peers. */
    val reliesOnPeers: Boolean

    /** Maximum age of a peer's view; when the last one is older, the store is read. */
    val maxPeerViewAgeMs: Long
}

/** Creates the fixed timing of an instance that always reads the store itself. */
fun fixedWatchTiming(
    waitMs: Long,
    pauseMs: Long,
    removalGraceMs: Long,
): WatchTiming = FixedWatchTiming(waitMs, pauseMs, removalGraceMs)

private class FixedWatchTiming(
    override val waitMs: Long,
    override val pauseMs: Long,
    override val removalGraceMs: Long,
) : WatchTiming {
    override val reliesOnPeers = false
    override val maxPeerViewAgeMs = 0L
}
