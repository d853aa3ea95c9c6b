/*
 * Exponentially decaying request rate per adapter version. Most adapters are idle, so estimates that have decayed to almost 0 are removed.
 */
package io.skylarkstile.core.placement

import kotlin.math.ln
import kotlin.math.pow

/**
 * Half-life of a request count. The adapters that only just get one of the fleet's slots receive a request about every 50 s, so a shorter
 * half-life ranks them almost at random: 30 s caused 4.0% to 5.0% more load stalls in PolicySimulationSpec, where 26% of the adapters
 * become active or idle within an hour. 300 s differs from 120 s by less than 0.5% there.
 */
private const val HALF_LIFE_MS = 120_000.0
private const val NEGLIGIBLE_COUNT = 0.001
private const val MIN_PRUNE_SIZE = 4_096

/** Estimates the requests per second of each adapter version with exponential decay. Not thread-safe; callers must hold a lock. */
class Popularity(
    private val halfLifeMs: Double = HALF_LIFE_MS,
) {
    private class Estimate(
        var count: Double,
        var at: Long,
    )

    private val estimates = HashMap<String, Estimate>()
    private var pruneThreshold = MIN_PRUNE_SIZE

    /** Counts one request for [model] at [now]. */
    fun record(
        model: String,
        now: Long,
    ) {
        val estimate = estimates.getOrPut(model) { Estimate(0.0, now) }
        estimate.count = decayed(estimate, now) + 1
        estimate.at = now
        if (estimates.size > pruneThreshold) prune(now)
    }

    /** Returns the estimated requests per second of [model]. */
    fun rate(
        model: String,
        now: Long,
    ): Double = (estimates[model]?.let { decayed(it, now) } ?: 0.0) * ln(2.0) / halfLifeMs * 1_000

    /** Returns the [limit] most popular adapter versions with their requests per second. */
    fun top(
        limit: Int,
        now: Long,
    ): Map<String, Double> = estimates.keys
        .map { it to rate(it, now) }
        .sortedByDescending { it.second }
        .take(limit)
        .toMap()

    private fun decayed(
        estimate: Estimate,
        now: Long,
    ): Double = estimate.count * 0.5.pow((now - estimate.at).coerceAtLeast(0) / halfLifeMs)

    private fun prune(now: Long) {
        estimates.values.removeIf { decayed(it, now) < NEGLIGIBLE_COUNT }
        pruneThreshold = maxOf(MIN_PRUNE_SIZE, estimates.size * 2)
    }
}
