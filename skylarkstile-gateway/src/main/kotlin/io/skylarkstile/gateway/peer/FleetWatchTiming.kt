/*
 * Timing of an instance's store watches by its role in the fleet. An aggregator watches with short waits, since each message on the way to
 * other instances adds to the age of the view; an instance that receives current views from others doesn't watch the store at all.
 */
package io.skylarkstile.gateway.peer

import io.skylarkstile.gateway.store.WatchTiming

/** Maximum wait of one watch, in milliseconds: a silently dead connection hides changes no longer than this plus the call's timeout. */
private const val MAX_WAIT_MS = 2_500L

/** An aggregator pauses after a change for at most its watch wait divided by this. */
private const val PAUSE_DIVISOR = 4

/**
 * Sets the timing of a watch by the role that [exchange] reports. [basePauseMs] applies to all instances, [aggregatorWaitMs] only to
 * aggregators. Times are in milliseconds.
 */
internal class FleetWatchTiming(
    private val exchange: PeerExchange,
    private val basePauseMs: Long,
    private val aggregatorWaitMs: Long,
    override val maxPeerViewAgeMs: Long,
    override val removalGraceMs: Long = 0,
) : WatchTiming {
    override val waitMs: Long get() = if (exchange.isAggregator) aggregatorWaitMs else MAX_WAIT_MS
    override val pauseMs: Long get() = if (exchange.isAggregator) minOf(basePauseMs, aggregatorWaitMs / PAUSE_DIVISOR) else basePauseMs
    override val confirmsSoon: Boolean get() = exchange.isAggregator
    override val reliesOnPeers: Boolean get() = !exchange.readsStore
}
