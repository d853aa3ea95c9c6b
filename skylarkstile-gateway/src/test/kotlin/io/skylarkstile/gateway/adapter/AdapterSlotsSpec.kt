/*
 * Guards against ordering a target to hold more adapters than it has slots for, against orders that are carried out late, against unloading
 * adapters that calls use, and against loads that wait for a slot although one could have been freed earlier.
 */
package io.skylarkstile.gateway.adapter

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.skylarkstile.core.placement.Popularity
import io.skylarkstile.gateway.adapter
import io.skylarkstile.gateway.forEachSeed
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.target.AdapterPhase
import kotlin.random.Random

private const val CAPACITY = 5

/** A target that carries out orders as the platform's replicas do: an order without an answer may still be carried out seconds later. */
private class FakeTarget {
    private class DelayedOrder(
        val at: Long,
        val order: AdapterOrder,
        val expected: Long?,
    )

    val present = LinkedHashSet<AdapterVersion>()
    val loading = LinkedHashMap<AdapterVersion, Long>()
    val busy = HashSet<AdapterVersion>()
    var sequence = 0L
    private val delayed = ArrayList<DelayedOrder>()
    private val history = ArrayDeque<Pair<Long, TargetReport>>()

    fun tick(now: Long) {
        loading.filterValues { it <= now }.keys.toList().forEach {
            loading.remove(it)
            present.add(it)
        }
        delayed.filter { it.at <= now }.forEach {
            delayed.remove(it)
            carryOut(it.order, it.expected, now)
        }
        (present.size + loading.size) shouldBeLessThanOrEqualTo CAPACITY
        history.addLast(now to TargetReport(sequence, setOf("base"), false, present.toSet(), loading.keys.toSet()))
    }

    fun order(
        order: AdapterOrder,
        expected: Long?,
        now: Long,
        random: Random,
    ): OrderOutcome = when (random.nextInt(10)) {
        0 -> OrderOutcome.Unknown.also { delayed.add(DelayedOrder(now + 200 + random.nextInt(4_000), order, expected)) }
        1 -> OrderOutcome.Unknown.also { carryOut(order, expected, now) }
        else -> carryOut(order, expected, now)
    }

    /** Reports lag by 200 ms. */
    fun report(now: Long): TargetReport {
        while (history.size > 1 && history[1].first <= now - 200) history.removeFirst()
        return history.first().second
    }

    private fun carryOut(
        order: AdapterOrder,
        expected: Long?,
        now: Long,
    ): OrderOutcome {
        if (expected != null && expected != sequence) return OrderOutcome.Conflict
        if (order is AdapterOrder.Unload) {
            if (order.adapter !in present) return OrderOutcome.Done
            sequence++
            present.remove(order.adapter)
            return OrderOutcome.Done
        }
        if (order.adapter in present) return OrderOutcome.Done
        if (order.adapter in loading) return OrderOutcome.Accepted
        sequence++
        loading[order.adapter] = now + 100
        return OrderOutcome.Accepted
    }
}

private fun AdapterSlots.next(now: Long) = nextOrNull(now, null, inUse = { false }, isCurrent = { true })

class AdapterSlotsSpec :
    FunSpec({
        test("lost, delayed and repeated orders never load more adapters than a target has slots, and calls are still served") {
            forEachSeed(60, known = listOf(-1_907_528_076)) { seed ->
                val random = Random(seed)
                val target = FakeTarget()
                var slots = AdapterSlots(CAPACITY, Popularity())
                var reportAt = 0L
                var served = 0
                for (now in 0L..30_000L step 10) {
                    target.tick(now)
                    if (random.nextInt(600) == 0) slots = AdapterSlots(CAPACITY, Popularity()).also { reportAt = now + 400 }
                    val wanted = adapter("a${random.nextInt(12)}")
                    slots.request(wanted, now)
                    if (slots.needsReport) {
                        if (now >= reportAt) slots.report(target.report(now), now)
                        continue
                    }
                    val order =
                        slots.nextOrNull(now, null, inUse = { it in target.busy }, isCurrent = { true }) as AdapterOrder?
                            ?: continue
                    val expected = slots.orders
                    slots.applyOutcome(order, target.order(order, expected, now, random), now)
                    if (slots.needsReport) reportAt = now + 350
                    if (slots.phases().any { it.value == AdapterPhase.Present }) served++
                }
                (served > 100) shouldBe true
            }
        }

        test("an adapter that calls use isn't unloaded, and one that is wished for again before its unload order is kept") {
            val slots = AdapterSlots(2, Popularity())
            slots.report(TargetReport(0, setOf("base"), false, setOf(adapter("a"), adapter("b")), emptySet()), 0)
            slots.nextOrNull(410, null, inUse = { true }, isCurrent = { true }) shouldBe null
            slots.phases().size shouldBe 2
            slots.next(420) shouldBe null
            slots.phases().size shouldBe 1
            val leaving = listOf(adapter("a"), adapter("b")).first { it !in slots.phases() }
            slots.request(leaving, 430)
            slots.phases().keys shouldContain leaving
        }

        // While the unload waited for running calls, every other order got a conflict, and each conflict cost a report of 0.35 s.
        test("while an unload waits for running calls, only that order is repeated") {
            val slots = AdapterSlots(2, Popularity())
            slots.report(TargetReport(0, setOf("base"), false, setOf(adapter("a"), adapter("b")), emptySet()), 0)
            slots.next(500) shouldBe null
            val unload = checkNotNull(slots.next(600))
            slots.applyOutcome(unload, OrderOutcome.Accepted, 600)
            slots.request(adapter("c"), 600)
            slots.next(600) shouldBe null
            slots.nextDueAt shouldBe 640
            slots.next(640) shouldBe unload
            slots.applyOutcome(unload, OrderOutcome.Conflict, 640)
            slots.applyOutcome(unload, OrderOutcome.Done, 700)
            slots.request(adapter("c"), 700)
            slots.next(700) shouldBe AdapterOrder.Load(adapter("c"))
            slots.orders shouldBe 1
        }

        // Such an adapter is the least popular one, so it was unloaded before the calls that use it had been reported.
        test("an adapter that was just loaded or used isn't unloaded before the instances could report that calls use it") {
            val slots = AdapterSlots(2, Popularity())
            slots.report(TargetReport(0, setOf("base"), false, setOf(adapter("b")), emptySet()), 0)
            slots.request(adapter("a"), 1_000)
            val load = checkNotNull(slots.next(1_000))
            slots.applyOutcome(load, OrderOutcome.Accepted, 1_000)
            slots.applyOutcome(AdapterOrder.Check(adapter("a")), OrderOutcome.Done, 1_255)
            slots.request(adapter("b"), 1_255)
            repeat(8) { slots.next(1_255L + 50 * it) shouldBe null }
            slots.phases().size shouldBe 2
        }

        // A change of the configuration may leave less room than the adapters need that are loaded already.
        test("when a target holds fewer adapters than before, idle ones are unloaded before another is loaded") {
            val slots = AdapterSlots(4, Popularity())
            val present = List(4) { adapter("a$it") }.toSet()
            slots.report(TargetReport(0, setOf("base"), false, present, emptySet()), 0)
            slots.capacity = 2
            var unloaded = 0
            for (now in 500L..5_000L step 50) {
                slots.request(adapter("new"), now)
                val order = slots.next(now) ?: continue
                if (order is AdapterOrder.Load) {
                    unloaded shouldBe 3
                    return@test
                }
                slots.applyOutcome(order, OrderOutcome.Done, now)
                unloaded++
            }
            error("the requested adapter was never loaded")
        }

        test("a slot is freed before it is needed") {
            val slots = AdapterSlots(2, Popularity())
            slots.report(TargetReport(0, setOf("base"), false, setOf(adapter("a"), adapter("b")), emptySet()), 0)
            slots.next(400) shouldBe null
            slots.next(500).shouldBeInstanceOf<AdapterOrder.Unload>()
        }

        test("a target that started without its base model is ordered to load it first, once, and adapters only afterwards") {
            val slots = AdapterSlots(2, Popularity())

            fun next(now: Long) = slots.nextOrNull(now, "base", inUse = { false }, isCurrent = { true })
            slots.report(TargetReport(0, emptySet(), false, emptySet(), emptySet()), 0)
            slots.request(adapter("a"), 0)
            val load = checkNotNull(next(0))
            load shouldBe TargetOrder.LoadModel("base")
            slots.applyOutcome(load, OrderOutcome.Accepted, 0)
            slots.orders shouldBe 1
            next(100) shouldBe null
            next(250) shouldBe load
            slots.applyOutcome(load, OrderOutcome.Conflict, 250)
            slots.needsReport shouldBe false
            slots.applyOutcome(checkNotNull(next(500)), OrderOutcome.Done, 500)
            slots.request(adapter("a"), 500)
            next(500) shouldBe AdapterOrder.Load(adapter("a"))
            slots.orders shouldBe 1
        }

        test("an adapter that was replaced by a newer version is unloaded first") {
            val slots = AdapterSlots(2, Popularity())
            slots.report(TargetReport(0, setOf("base"), false, setOf(adapter("a"), adapter("b", 1)), emptySet()), 0)
            slots.nextOrNull(400, null, inUse = { false }, isCurrent = { it.name != adapter("b").name })
            slots.phases().keys shouldBe setOf(adapter("a"))
        }

        test("a load is not repeated once a newer version is announced, because the target would load the newer one") {
            val slots = AdapterSlots(3, Popularity())
            slots.report(TargetReport(0, setOf("base"), false, emptySet(), emptySet()), 0)
            slots.request(adapter("a"), 0)
            val load = slots.next(0)
            load shouldNotBe null
            slots.applyOutcome(checkNotNull(load), OrderOutcome.Accepted, 0)
            slots.nextOrNull(1_000, null, inUse = { false }, isCurrent = { false }) shouldBe null
            slots.needsReport shouldBe true
        }

        test("an adapter that was used just now keeps its slot while a more popular one has been unused for long") {
            val popularity = Popularity()
            repeat(5) { popularity.record("${adapter("popular")}", 100) }
            val slots = AdapterSlots(2, popularity)
            slots.report(TargetReport(0, setOf("base"), false, setOf(adapter("popular"), adapter("rare")), emptySet()), 0)
            listOf(1_000L, 1_100L, 1_200L, 1_300L).forEach { now ->
                slots.request(adapter("wanted"), now)
                slots.request(adapter("rare"), now)
            }
            slots.nextOrNull(1_310, null, inUse = { false }, isCurrent = { true }) shouldBe null
            slots.phases().keys shouldBe setOf(adapter("rare"))
        }
    })
