/*
 * Limits the memory that request bodies take, which are kept until their calls end. When the process has no direct memory left, each allocation
 * waits on the event loop, also that for reading any other connection.
 */
package io.skylarkstile.gateway.relay

import kotlin.math.exp

/** Bodies up to this size may use the part of the memory that is kept from larger ones, in bytes. */
internal const val SHORT_BODY_BYTES = 16_384L

/** Share of the memory that bodies of any size may take together, and that short ones may fill up to. */
private const val BODY_SHARE = 0.75
private const val SHORT_BODY_SHARE = 0.875

/** Time constant of the rate at which memory comes free, in milliseconds. */
private const val RATE_WINDOW_MS = 2_000.0
private const val MIN_RETRY_AFTER_MS = 100L
private const val MAX_RETRY_AFTER_MS = 2_000L

/** Grants parts of [memoryBytes] to request bodies. Not thread-safe. */
internal class BodyBudget(
    private val memoryBytes: Long,
) {
    /** Size in bytes of all bodies that are held or expected. */
    var reservedBytes = 0L
        private set
    private var releasedBytes = 0.0
    private var decayedAt = 0L

    /** Reserves [bytes] more for a body of [bodyBytes] in all, or returns false when they don't fit. */
    fun tryReserve(
        bytes: Long,
        bodyBytes: Long,
    ): Boolean {
        val share = if (bodyBytes <= SHORT_BODY_BYTES) SHORT_BODY_SHARE else BODY_SHARE
        if (reservedBytes + bytes > memoryBytes * share) return false
        reservedBytes += bytes
        return true
    }

    /** Releases what was reserved for a body. */
    fun release(
        bytes: Long,
        now: Long,
    ) {
        decay(now)
        reservedBytes -= bytes
        releasedBytes += bytes
    }

    /** Returns the time in milliseconds after which [bytes] will have come free, at the rate of the last seconds. */
    fun retryAfterMs(
        bytes: Long,
        now: Long,
    ): Long {
        decay(now)
        val bytesPerMs = releasedBytes / RATE_WINDOW_MS
        if (bytesPerMs <= 0.0) return MAX_RETRY_AFTER_MS
        return (bytes / bytesPerMs).toLong().coerceIn(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    }

    private fun decay(now: Long) {
        releasedBytes *= exp(-(now - decayedAt) / RATE_WINDOW_MS)
        decayedAt = now
    }
}
