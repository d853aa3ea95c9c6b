/*
 * Generates the request arrivals of a run before it starts: the same profile, scenario and seed give the same trace for every policy.
 */
package io.skylarkstile.bench.trace

import org.apache.commons.math3.distribution.ExponentialDistribution
import org.apache.commons.math3.distribution.ZipfDistribution
import org.apache.commons.math3.random.RandomGenerator
import org.apache.commons.math3.random.Well19937c
import kotlin.math.roundToInt

/** One request that arrives [atMs] milliseconds after the start, whether or not earlier requests have completed. */
data class Arrival(
    val atMs: Long,
    val workspace: String,
    val adapter: String,
    val prompt: String,
    val maxTokens: Int,
)

/** The [arrivals] of one run in order of time, with the parameters that they were generated from. */
data class Trace(
    val profile: Profile,
    val scenario: Scenario,
    val seed: Long,
    val durationMs: Long,
    val arrivals: List<Arrival>,
)

/** Returns the adapters of workspace number [workspace] in [profile]: adapter n belongs to workspace n modulo the number of workspaces. */
fun adaptersOf(
    profile: Profile,
    workspace: Int,
): List<String> = (workspace until profile.adapters step profile.workspaces.size).map { "adapter-$it" }

/** Ratio of the rate at which the greedy workspace sends to the rate that its record allows. */
const val GREEDY_FACTOR = 5.0

/** Generates the trace of [durationMs] milliseconds. */
fun generateTrace(
    profile: Profile,
    scenario: Scenario,
    seed: Long,
    durationMs: Long,
): Trace {
    val random = Well19937c(seed)
    val generators = profile.workspaces.indices.map { WorkspaceArrivals(profile, scenario, it, Well19937c(random.nextLong()), durationMs) }
    return Trace(profile, scenario, seed, durationMs, generators.flatMap { it.generate() }.sortedBy { it.atMs })
}

/** Generates the Poisson arrivals of one workspace with Zipf-distributed adapter popularity. */
private class WorkspaceArrivals(
    private val profile: Profile,
    private val scenario: Scenario,
    private val index: Int,
    private val random: RandomGenerator,
    private val durationMs: Long,
) {
    private val own = profile.workspaces[index]
    private val adapters = adaptersOf(profile, index)
    private val ranks = ZipfDistribution(random, adapters.size, profile.zipfExponent)
    private val popularityOrder = shuffled()
    private val shiftedPopularityOrder = shuffled()

    fun generate(): List<Arrival> {
        val rate = if (isGreedy()) GREEDY_FACTOR * limitsOf(profile, own).requestsPerSecond else profile.requestsPerSecond * own.share
        val intervals = ExponentialDistribution(random, MS_PER_SECOND / rate)
        val times = generateSequence(intervals.sample()) { it + intervals.sample() }.takeWhile { it < durationMs }
        return times.map { arrival(it.toLong()) }.toList()
    }

    private fun isGreedy() = scenario == Scenario.GreedyWorkspace && index == 0

    private fun arrival(at: Long): Arrival {
        val isShifted = scenario == Scenario.PopularityShift && at >= durationMs / 2
        val adapter = adapters[(if (isShifted) shiftedPopularityOrder else popularityOrder)[ranks.sample() - 1]]
        val tokens = (profile.meanTokens * (MIN_TOKENS_SHARE + random.nextDouble())).roundToInt().coerceAtLeast(1)
        return Arrival(at, profile.workspaces[index].name, adapter, "plate ${random.nextInt(PROMPT_COUNT)} of $adapter", tokens)
    }

    private fun shuffled(): IntArray {
        val popularityOrder = IntArray(adapters.size) { it }
        for (i in popularityOrder.indices.reversed()) {
            val j = random.nextInt(i + 1)
            popularityOrder[i] = popularityOrder[j].also { popularityOrder[j] = popularityOrder[i] }
        }
        return popularityOrder
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
        const val MIN_TOKENS_SHARE = 0.5
        const val PROMPT_COUNT = 50
    }
}
