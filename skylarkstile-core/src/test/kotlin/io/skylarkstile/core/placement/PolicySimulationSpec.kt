/*
 * Compares the placement and eviction decisions with simple baselines in a deterministic simulation of the Cairo sizes: 13 engines with
 * 16 slots, 3,000 adapters of skewed popularity that shifts, 7 loads a second, 3 at once.
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
private const val PLACES = 32
private const val ADAPTERS = 3_000
private const val REQUESTS = 40_000

/** 26% of the adapters wake or go idle within an hour; a swap changes two, and 4,000 requests take 100 s. */
private const val SWAPS = 11
private const val GAP_MS = 25.0
private const val RUN_MS = 1_000L
private const val LOAD_MS = 250L
private const val STATE_MS = 1_000L

private class Engine(
    val name: String,
) {
    /** Loaded adapters with the time of their last use. */
    val loaded = HashMap<Int, Long>()
    val pins = HashMap<Int, Int>()
    val popularity = Popularity()
    val load: Int get() = pins.values.sum()
    var victimRate = 0.0
    var statedAt = -STATE_MS
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

    /** Returns the share of requests that wait for a load. */
    fun stallShare(): Double {
        var stalls = 0
        var now = 0.0
        repeat(REQUESTS) { number ->
            now += GAP_MS * -ln(1 - random.nextDouble())
            if (number % 4_000 == 0) rank.shuffle(random, SWAPS)
            if (request(rank[draw()], now.toLong())) stalls++
        }
        return stalls.toDouble() / REQUESTS
    }

    /** Returns the adapters that the requests ask for, in order. */
    fun wanted(): List<Int> = (0 until REQUESTS).map { number ->
        random.nextDouble()
        if (number % 4_000 == 0) rank.shuffle(random, SWAPS)
        rank[draw()]
    }

    private fun draw(): Int {
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
        if (stalls) engine.statedAt = now - STATE_MS
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
    ) = TargetView(engine.name, adapter in engine.loaded, false, engine.load, PLACES, victimRate = victimRate(engine))

    /** Owners tell the rate after each load and each second, so what others know of it lags. */
    private fun victimRate(engine: Engine): Double {
        if (clock - engine.statedAt >= STATE_MS) {
            engine.statedAt = clock
            val rates =
                engine.loaded.keys
                    .filter { it !in engine.pins }
                    .map { engine.popularity.rate("$it", clock) }
            engine.victimRate = if (engine.loaded.size < SLOTS) 0.0 else rates.minOrNull() ?: Double.POSITIVE_INFINITY
        }
        return engine.victimRate
    }

    /** Baselines evict the least recently used adapter. */
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

/** Returns the least share of loads with all slots in one pool and the future known: the adapter that is wanted last leaves. */
private fun offlineShare(seed: Long): Double {
    val wanted = Simulation(Policy.Hash, seed).wanted()
    val next = IntArray(wanted.size)
    val seen = HashMap<Int, Int>()
    for (at in wanted.indices.reversed()) next[at] = seen.put(wanted[at], at) ?: Int.MAX_VALUE
    val pool = HashMap<Int, Int>()
    var loads = 0
    wanted.forEachIndexed { at, adapter ->
        if (adapter !in pool) {
            loads++
            if (pool.size == ENGINES * SLOTS) pool.remove(pool.maxBy { it.value }.key)
        }
        pool[adapter] = next[at]
    }
    return loads.toDouble() / wanted.size
}

/** Swaps [count] random pairs, so that some adapters wake and others go idle. */
private fun IntArray.shuffle(
    random: Random,
    count: Int,
) = repeat(count) {
    val a = random.nextInt(size)
    val b = random.nextInt(size)
    this[a] = this[b].also { this[b] = this[a] }
}

/** Outcome at one seed: the share of requests that wait for a load under each policy, and the offline bound. */
private class Outcome(
    seed: Long,
) {
    val shares = Policy.entries.associateWith { Simulation(it, seed).stallShare() }
    val bound = offlineShare(seed)
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
        val outcomes by lazy { listOf(20_261_204L, 7L, 99L).map { Outcome(it) } }

        test("fewer requests wait for a load than with random, least loaded or plain hash routing, at each of three seeds") {
            outcomes.forEach {
                // The ratios measured are 1.32 to 1.33; this keeps them from rising unnoticed while the goals below are missed.
                it.ours shouldBeLessThan 1.36 * it.bound
                it.ours shouldBeLessThan it.bestBaseline
            }
        }

        test(BOUND_GOAL).config(enabled = !isKnownRed(BOUND_GOAL)) {
            outcomes.forEach { it.ours shouldBeLessThanOrEqual 1.25 * it.bound }
        }

        test(BASELINE_GOAL).config(enabled = !isKnownRed(BASELINE_GOAL)) {
            outcomes.forEach { it.ours shouldBeLessThan 0.5 * it.bestBaseline }
        }
    })
