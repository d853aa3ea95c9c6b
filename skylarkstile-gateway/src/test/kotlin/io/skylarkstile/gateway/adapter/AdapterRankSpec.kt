/*
 * Guards against urgent calls that wait for adapters behind less urgent ones while a target has too few slots, and against less urgent calls
 * that are passed over for good. The same load without ranks shows what the ranks change.
 */
package io.skylarkstile.gateway.adapter

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.skylarkstile.core.placement.Popularity
import io.skylarkstile.gateway.adapter
import io.skylarkstile.gateway.forEachSeed
import io.skylarkstile.gateway.model.AdapterVersion
import kotlin.random.Random

private const val CAPACITY = 8
private const val LOAD_MS = 255L
private const val USE_MS = 150L
private const val REPEAT_MS = 100L
private const val STEP_MS = 10L
private const val PLAY_MS = 40_000L

/** Time within which an urgent call has to find its adapter, and after which any call gives up, in milliseconds. */
private const val AIM_MS = 500L
private const val DEADLINE_MS = 4_000L
private const val URGENT = 0
private const val UNHURRIED = 2

private class Waiting(
    val adapter: AdapterVersion,
    val kind: Int,
    val since: Long,
)

/** Plays calls of two kinds for more adapters than one target has slots; [rankOf] gives the rank of a kind. */
private class Shortage(
    seed: Int,
    private val rankOf: (Int) -> Int,
) {
    private val random = Random(seed)
    private val popularity = Popularity(15_000.0)
    private val slots = AdapterSlots(CAPACITY, popularity)
    private val waiting = ArrayList<Waiting>()
    private val usedUntil = HashMap<AdapterVersion, Long>()
    private val readyAt = HashMap<AdapterVersion, Long>()
    private val waits = mapOf(URGENT to ArrayList<Long>(), UNHURRIED to ArrayList())
    private var orders = 0L

    init {
        slots.report(TargetReport(0, setOf("base"), false, emptySet(), emptySet()), 0)
    }

    fun play() {
        for (now in 0L until PLAY_MS step STEP_MS) {
            arrive(now)
            waiting.filter { (now - it.since) % REPEAT_MS == 0L }.forEach { slots.request(it.adapter, now, rankOf(it.kind)) }
            repeat(3) { order(now) }
            serve(now)
        }
    }

    private fun arrive(now: Long) {
        listOf(URGENT to 0.30, UNHURRIED to 0.15).filter { random.nextDouble() < it.second }.forEach { (kind, _) ->
            // Popularity falls with the number: the product of two evenly distributed values prefers small ones.
            val number = (random.nextDouble() * random.nextDouble() * 16).toInt()
            val wanted = adapter("${if (kind == URGENT) "u" else "b"}$number")
            popularity.record("$wanted", now)
            waiting.add(Waiting(wanted, kind, now))
        }
    }

    private fun order(now: Long) {
        if (slots.needsReport) {
            val loading = readyAt.filterValues { it > now }.keys
            slots.report(TargetReport(orders, setOf("base"), false, readyAt.keys - loading, loading), now)
        }
        val next = slots.nextOrNull(now, "base", { (usedUntil[it] ?: 0) > now }, { true }) as? AdapterOrder ?: return
        slots.applyOutcome(next, carryOut(next, now), now)
    }

    private fun carryOut(
        order: AdapterOrder,
        now: Long,
    ): OrderOutcome = when (order) {
        is AdapterOrder.Load -> {
            readyAt[order.adapter] = now + LOAD_MS
            orders++
            OrderOutcome.Accepted
        }

        is AdapterOrder.Check -> {
            if (now >= (readyAt[order.adapter] ?: Long.MAX_VALUE)) OrderOutcome.Done else OrderOutcome.Accepted
        }

        is AdapterOrder.Unload -> {
            readyAt.remove(order.adapter)
            orders++
            OrderOutcome.Done
        }
    }

    private fun serve(now: Long) {
        val present = slots.phases().filterValues { it == io.skylarkstile.gateway.target.AdapterPhase.Present }.keys
        val ended = waiting.filter { it.adapter in present || now - it.since >= DEADLINE_MS }
        waiting.removeAll(ended.toSet())
        ended.forEach { call ->
            waits.getValue(call.kind).add(now - call.since)
            if (call.adapter !in present) return@forEach
            if ((usedUntil[call.adapter] ?: 0) <= now) slots.request(call.adapter, now, rankOf(call.kind))
            usedUntil[call.adapter] = now + USE_MS
        }
    }

    fun shareWithin(
        kind: Int,
        ms: Long,
    ): Double = waits.getValue(kind).let { all -> all.count { it < ms }.toDouble() / all.size }
}

private fun played(
    seed: Int,
    rankOf: (Int) -> Int,
) = Shortage(seed, rankOf).apply { play() }

class AdapterRankSpec :
    FunSpec({
        test("urgent calls find their adapters in time at least as often as unhurried ones, which aren't passed over for good") {
            val gains = ArrayList<Double>()
            forEachSeed(30) { seed ->
                val ranked = played(seed) { it }
                val plain = played(seed) { 0 }
                gains.add(ranked.shareWithin(URGENT, AIM_MS) - plain.shareWithin(URGENT, AIM_MS))
                withClue(
                    "urgent ${ranked.shareWithin(URGENT, AIM_MS)} unhurried ${ranked.shareWithin(UNHURRIED, AIM_MS)}, " +
                        "without ranks ${plain.shareWithin(URGENT, AIM_MS)} ${plain.shareWithin(UNHURRIED, AIM_MS)}, " +
                        "unhurried served ${ranked.shareWithin(UNHURRIED, DEADLINE_MS)} ${plain.shareWithin(UNHURRIED, DEADLINE_MS)}",
                ) {
                    ranked.shareWithin(URGENT, AIM_MS) shouldBeGreaterThanOrEqualTo ranked.shareWithin(UNHURRIED, AIM_MS) - 0.05
                    ranked.shareWithin(UNHURRIED, DEADLINE_MS) shouldBeGreaterThanOrEqualTo 0.5
                }
            }
            println("mean gain of urgent calls in time: ${gains.average()}")
            withClue("mean gain of urgent calls in time") { gains.average() shouldBeGreaterThan 0.05 }
        }

        test("equal ranks decide as no ranks do") {
            val plain = played(7) { 0 }
            val equal = played(7) { 3 }
            equal.shareWithin(URGENT, AIM_MS) shouldBe plain.shareWithin(URGENT, AIM_MS)
            equal.shareWithin(UNHURRIED, AIM_MS) shouldBe plain.shareWithin(UNHURRIED, AIM_MS)
        }
    })
