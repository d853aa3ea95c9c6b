/*
 * Compares the placement and eviction decisions with simple baselines in a deterministic simulation with the sizes of the Cairo deployment:
 * 13 engines with 16 slots, 3,000 adapters of skewed and shifting popularity, 7 loads a second, 3 at once.
 */
package io.skylarkstile.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.skylarkstile.core.isKnownRed
import io.skylarkstile.schema.generated.TargetSettings.Policy
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

private const val ENGINES = 13
private const val SLOTS = 16
private const val MAX_RUNNING = 32
private const val ADAPTERS = 3_000
private const val REQUESTS = 40_000

/** Swaps of popularity ranks per 4,000 requests (100 s). Each changes two adapters, so 26% of them become active or idle within an hour. */
private const val RANK_SWAPS = 11
private const val MEAN_ARRIVAL_GAP_MS = 25.0
private const val RUN_MS = 1_000L
private const val LOAD_MS = 250L
private const val REPORT_INTERVAL_MS = 1_000L

private class Engine(
    val name: String,
) {
    /** Time of last use by loaded adapter. */
    val loaded = HashMap<Int, Long>()
    val pins = HashMap<Int, Int>()
    val popularity = Popularity()
    val load: Int get() = pins.values.sum()
    var victimRate = 0.0
    var reportedAt = -REPORT_INTERVAL_MS
}

private class Simulation(
    private val policy: Policy,
    seed: Long,
) {
    private val random = Random(seed)
    private val routing = routingPolicy(policy, Random(seed + 1))
    private val engines = (1..ENGINES).map { Engine("t$it") }
    private val ends = PriorityQueue<Triple<Long, Engine, Int>>(compareBy { it.first })
    private var clock = 0L
    private val rank = IntArray(ADAPTERS) { it }
    private val cumulative = (1..ADAPTERS).runningFold(0.0) { sum, at -> sum + 1 / at.toDouble().pow(1.1) }.drop(1)

    /** Runs the simulation and returns the share of requests that wait for a load. */
    fun stallShare(): Double {
        var stalls = 0
        var now = 0.0
        repeat(REQUESTS) { number ->
            now += MEAN_ARRIVAL_GAP_MS * -ln(1 - random.nextDouble())
            if (number % 4_000 == 0) rank.swapRandomPairs(random, RANK_SWAPS)
            if (request(rank[drawRank()], now.toLong())) stalls++
        }
        return stalls.toDouble() / REQUESTS
    }

    /** Returns the adapters of all requests, in order of arrival. */
    fun requestedAdapters(): List<Int> = (0 until REQUESTS).map { number ->
        random.nextDouble()
        if (number % 4_000 == 0) rank.swapRandomPairs(random, RANK_SWAPS)
        rank[drawRank()]
    }

    private fun drawRank(): Int {
        val found = cumulative.binarySearch(random.nextDouble() * cumulative.last())
        return (if (found < 0) -found - 1 else found).coerceAtMost(ADAPTERS - 1)
    }

    private fun request(
        adapter: Int,
        now: Long,
    ): Boolean {
        while (ends.isNotEmpty() && ends.peek().first <= now) finish(ends.poll())
        clock = now
        val engine = target(adapter)
        engine.popularity.record("$adapter", now)
        val stalls = adapter !in engine.loaded
        if (stalls && engine.loaded.size >= SLOTS) victimOrNull(engine, now)?.let { engine.loaded.remove(it) }
        if (stalls) engine.reportedAt = now - REPORT_INTERVAL_MS
        engine.loaded[adapter] = now
        engine.pins.merge(adapter, 1, Int::plus)
        ends.add(Triple(now + RUN_MS + if (stalls) LOAD_MS else 0, engine, adapter))
        return stalls
    }

    private fun finish(ended: Triple<Long, Engine, Int>) {
        ended.second.pins.compute(ended.third) { _, count -> (count!! - 1).takeIf { it > 0 } }
    }

    private fun target(adapter: Int): Engine {
        val views = engines.map { view(it, adapter) }
        val best = routing.rank("$adapter", views, PlacementCosts(RUN_MS.toDouble(), 500.0)).first()
        return engines.first { it.name == best.target }
    }

    private fun view(
        engine: Engine,
        adapter: Int,
    ) = TargetView(engine.name, adapter in engine.loaded, false, engine.load, MAX_RUNNING, victimRate = victimRate(engine))

    /** Returns the rate last reported by the owner. Owners report it after each load and every second, so it lags. */
    private fun victimRate(engine: Engine): Double {
        if (clock - engine.reportedAt >= REPORT_INTERVAL_MS) {
            engine.reportedAt = clock
            val rates =
                engine.loaded.keys
                    .filter { it !in engine.pins }
                    .map { engine.popularity.rate("$it", clock) }
            engine.victimRate = if (engine.loaded.size < SLOTS) 0.0 else rates.minOrNull() ?: Double.POSITIVE_INFINITY
        }
        return engine.victimRate
    }

    /** Returns the adapter to evict, or null. The baselines evict the least recently used one. */
    private fun victimOrNull(
        engine: Engine,
        now: Long,
    ): Int? {
        val idle = engine.loaded.filterKeys { it !in engine.pins }
        if (policy != Policy.Ours) return idle.minByOrNull { it.value }?.key
        val handles = idle.map { IdleHandle("${it.key}", true, engine.popularity.rate("${it.key}", now), it.value) }
        return chooseVictim(handles, LOAD_MS, LOAD_MS).handleOrNull?.toInt()
    }
}

/**
 * Returns the lowest possible share of loads when all slots form one pool and future requests are known: the adapter whose next request is
 * the latest is evicted (Belady's algorithm).
 */
private fun offlineLoadShare(seed: Long): Double {
    val requestedAdapters = Simulation(Policy.Hash, seed).requestedAdapters()
    val next = IntArray(requestedAdapters.size)
    val seen = HashMap<Int, Int>()
    for (at in requestedAdapters.indices.reversed()) next[at] = seen.put(requestedAdapters[at], at) ?: Int.MAX_VALUE
    val pool = HashMap<Int, Int>()
    var loads = 0
    requestedAdapters.forEachIndexed { at, adapter ->
        if (adapter !in pool) {
            loads++
            if (pool.size == ENGINES * SLOTS) pool.remove(pool.maxBy { it.value }.key)
        }
        pool[adapter] = next[at]
    }
    return loads.toDouble() / requestedAdapters.size
}

/** Swaps [count] random pairs of popularity ranks, so that some adapters become active and others idle. */
private fun IntArray.swapRandomPairs(
    random: Random,
    count: Int,
) = repeat(count) {
    val a = random.nextInt(size)
    val b = random.nextInt(size)
    this[a] = this[b].also { this[b] = this[a] }
}

/** Holds the results for one seed: the share of requests that wait for a load under each policy, and the offline bound. */
private class SeedResult(
    seed: Long,
) {
    val shares = Policy.entries.associateWith { Simulation(it, seed).stallShare() }
    val bound = offlineLoadShare(seed)
    val ours = shares.getValue(Policy.Ours)
    val bestBaseline = shares.filterKeys { it != Policy.Ours }.values.min()

    init {
        println("PolicySimulationSpec: seed $seed, share of requests that wait for a load: $shares")
        println("PolicySimulationSpec: offline bound $bound, ratio ${ours / bound}, to the best baseline ${ours / bestBaseline}")
    }
}

private const val BOUND_GOAL = "at most 1.25 times the load stalls of the offline bound at each of three seeds"
private const val BASELINE_GOAL = "under half of the load stalls of the best simple baseline at each of three seeds"

class PolicySimulationSpec :
    FunSpec({
        val results by lazy { listOf(20_261_204L, 7L, 99L).map { SeedResult(it) } }

        test("fewer requests wait for a load than with random, least loaded or plain hash routing, at each of three seeds") {
            results.forEach {
                // The measured ratios are 1.32 to 1.33. This limit detects a regression while the goals below are not met.
                it.ours shouldBeLessThan 1.36 * it.bound
                it.ours shouldBeLessThan it.bestBaseline
            }
        }

        test(BOUND_GOAL).config(enabled = !isKnownRed(BOUND_GOAL)) {
            results.forEach { it.ours shouldBeLessThanOrEqual 1.25 * it.bound }
        }

        test(BASELINE_GOAL).config(enabled = !isKnownRed(BASELINE_GOAL)) {
            results.forEach { it.ours shouldBeLessThan 0.5 * it.bestBaseline }
        }
    })
