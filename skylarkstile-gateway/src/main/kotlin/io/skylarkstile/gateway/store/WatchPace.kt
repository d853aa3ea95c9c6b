/*
 * How closely an instance follows the store, and whether it asks the store itself or relies on what another instance tells it.
 */
package io.skylarkstile.gateway.store

/** Paces a [KindWatch]. Times are in milliseconds. */
interface WatchPace {
    /** Longest wait of one watch. */
    val waitMs: Long

    /** Time after a change in which further ones are gathered. */
    val pauseMs: Long

    /** True while others rely on this view, so that it has to be confirmed soon after a change. */
    val confirmsSoon: Boolean get() = false

    /** True while this instance may rely on another one's view. */
    val reliesOnPeers: Boolean

    /** A view that was told is used while it was current within this time; then the store is asked. */
    val mostAgeMs: Long
}

/** Creates the pace of an instance that always asks the store itself. */
fun steadyPace(
    waitMs: Long,
    pauseMs: Long,
): WatchPace = SteadyPace(waitMs, pauseMs)

private class SteadyPace(
    override val waitMs: Long,
    override val pauseMs: Long,
) : WatchPace {
    override val reliesOnPeers = false
    override val mostAgeMs = 0L
}
