/*
 * Request rates per adapter that fade with time. Most adapters are idle, so an estimate that has faded to almost nothing is dropped.
 */
package io.skylarkstile.core.placement

import kotlin.math.ln
import kotlin.math.pow

/**
 * An adapter at the edge of the fleet's slots is asked for about once in 50 s, so a shorter memory ranks such adapters almost at random: 30 s
 * made 4.0% to 5.0% more load stalls in PolicySimulationSpec, where 26% of the adapters wake or go idle within an hour. 300 s differs from 120 s
 * by less than 0.5% there.
 */
private const val HALF_LIFE_MS = 120_000.0
private const val NEGLIGIBLE = 0.001
private const val PRUNE_SIZE = 4_096

/** Estimates requests per second of each adapter version with exponential decay. Not thread-safe: guarded by its user's lock. */
class Popularity(
    private val halfLifeMs: Double = HALF_LIFE_MS,
) {
    private class Estimate(
        var count: Double,
        var at: Long,
    )

    private val estimates = HashMap<String, Estimate>()
    private var pruneAt = PRUNE_SIZE

    /** Counts one request for [model] at [now]. */
    fun record(
        model: String,
        now: Long,
    ) {
        val estimate = estimates.getOrPut(model) { Estimate(0.0, now) }
        estimate.count = decayed(estimate, now) + 1
        estimate.at = now
        if (estimates.size > pruneAt) prune(now)
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
        estimates.values.removeIf { decayed(it, now) < NEGLIGIBLE }
        pruneAt = maxOf(PRUNE_SIZE, estimates.size * 2)
    }
}
