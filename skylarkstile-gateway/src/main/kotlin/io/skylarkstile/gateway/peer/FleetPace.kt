/*
 * How an instance follows the store, by its part in the fleet: closely where others rely on it, since each message on the way adds to the
 * age of the view, and not at all while another one tells a view that is current.
 */
package io.skylarkstile.gateway.peer

import io.skylarkstile.gateway.store.WatchPace

/** Longest wait of one watch, in milliseconds: a connection that went silent hides changes no longer than this and a call's time limit. */
private const val WATCH_MS = 2_500L

/** Changes that an aggregator gathers wait this part of its watch's time. */
private const val READER_PAUSE_PARTS = 4

/** Paces a watch of the instance of [exchange]; times are in milliseconds. */
internal class FleetPace(
    private val exchange: PeerExchange,
    private val ownPauseMs: Long,
    private val readerWaitMs: Long,
    override val mostAgeMs: Long,
) : WatchPace {
    override val waitMs: Long get() = if (exchange.isAggregator) readerWaitMs else WATCH_MS
    override val pauseMs: Long get() = if (exchange.isAggregator) minOf(ownPauseMs, readerWaitMs / READER_PAUSE_PARTS) else ownPauseMs
    override val confirmsSoon: Boolean get() = exchange.isAggregator
    override val reliesOnPeers: Boolean get() = !exchange.readsStore
}
