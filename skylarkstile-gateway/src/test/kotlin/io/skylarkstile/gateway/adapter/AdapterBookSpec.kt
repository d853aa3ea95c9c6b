/*
 * Guards against targets that are ordered to hold more adapters than they can, orders that are carried out late, adapters that leave while
 * calls use them, and loads that wait for a place although one could be freed before.
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
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.playSeeds
import io.skylarkstile.gateway.target.AdapterPhase
import kotlin.random.Random

private const val CAPACITY = 5

/** A target that carries out orders as the platform's replicas do: in a queue of lost ones that may come seconds later. */
private class FakeTarget {
    private class Late(
        val at: Long,
        val order: AdapterOrder,
        val expected: Long?,
    )

    val present = LinkedHashSet<AdapterVersion>()
    val loading = LinkedHashMap<AdapterVersion, Long>()
    val busy = HashSet<AdapterVersion>()
    var sequence = 0L
    private val late = ArrayList<Late>()
    private val history = ArrayDeque<Pair<Long, TargetReport>>()

    fun tick(now: Long) {
        loading.filterValues { it <= now }.keys.toList().forEach {
            loading.remove(it)
            present.add(it)
        }
        late.filter { it.at <= now }.forEach {
            late.remove(it)
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
        0 -> OrderOutcome.Unknown.also { late.add(Late(now + 200 + random.nextInt(4_000), order, expected)) }
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

private fun AdapterBook.next(now: Long) = nextOrNull(now, null, inUse = { false }, isCurrent = { true })

class AdapterBookSpec :
    FunSpec({
        test("lost, late and repeated orders never fill a target beyond its places, and what is offered is there or arrives") {
            playSeeds(60, known = listOf(-1_907_528_076)) { seed ->
                val random = Random(seed)
                val target = FakeTarget()
                var book = AdapterBook(CAPACITY, Popularity())
                var reportAt = 0L
                var served = 0
                for (now in 0L..30_000L step 10) {
                    target.tick(now)
                    if (random.nextInt(600) == 0) book = AdapterBook(CAPACITY, Popularity()).also { reportAt = now + 400 }
                    val wanted = adapter("a${random.nextInt(12)}")
                    book.wish(wanted, now)
                    if (book.needsReport) {
                        if (now >= reportAt) book.report(target.report(now), now)
                        continue
                    }
                    val order = book.nextOrNull(now, null, inUse = { it in target.busy }, isCurrent = { true }) as AdapterOrder? ?: continue
                    val expected = book.orders
                    book.answered(order, target.order(order, expected, now, random), now)
                    if (book.needsReport) reportAt = now + 350
                    if (book.phases().any { it.value == AdapterPhase.Present }) served++
                }
                (served > 100) shouldBe true
            }
        }

        test("an adapter that calls use doesn't leave, and one that is wanted again before its order is kept") {
            val book = AdapterBook(2, Popularity())
            book.report(TargetReport(0, setOf("base"), false, setOf(adapter("a"), adapter("b")), emptySet()), 0)
            book.nextOrNull(410, null, inUse = { true }, isCurrent = { true }) shouldBe null
            book.phases().size shouldBe 2
            book.next(420) shouldBe null
            book.phases().size shouldBe 1
            val leaving = listOf(adapter("a"), adapter("b")).first { it !in book.phases() }
            book.wish(leaving, 430)
            book.phases().keys shouldContain leaving
        }

        // Until its runs had ended, every other order met a conflict, and each one cost a report of 0.35 s.
        test("while an adapter waits for its runs before it leaves, only that order is repeated") {
            val book = AdapterBook(2, Popularity())
            book.report(TargetReport(0, setOf("base"), false, setOf(adapter("a"), adapter("b")), emptySet()), 0)
            book.next(500) shouldBe null
            val unload = checkNotNull(book.next(600))
            book.answered(unload, OrderOutcome.Accepted, 600)
            book.wish(adapter("c"), 600)
            book.next(600) shouldBe null
            book.nextDueAt shouldBe 640
            book.next(640) shouldBe unload
            book.answered(unload, OrderOutcome.Conflict, 640)
            book.answered(unload, OrderOutcome.Done, 700)
            book.wish(adapter("c"), 700)
            book.next(700) shouldBe AdapterOrder.Load(adapter("c"))
            book.orders shouldBe 1
        }

        // Such an adapter is the least popular one, so it used to be told to leave before its callers' calls were known.
        test("an adapter that was just loaded or used doesn't leave before the instances could tell that calls use it") {
            val book = AdapterBook(2, Popularity())
            book.report(TargetReport(0, setOf("base"), false, setOf(adapter("b")), emptySet()), 0)
            book.wish(adapter("a"), 1_000)
            val load = checkNotNull(book.next(1_000))
            book.answered(load, OrderOutcome.Accepted, 1_000)
            book.answered(AdapterOrder.Check(adapter("a")), OrderOutcome.Done, 1_255)
            book.wish(adapter("b"), 1_255)
            repeat(8) { book.next(1_255L + 50 * it) shouldBe null }
            book.phases().size shouldBe 2
        }

        test("a place is freed before it is wanted") {
            val book = AdapterBook(2, Popularity())
            book.report(TargetReport(0, setOf("base"), false, setOf(adapter("a"), adapter("b")), emptySet()), 0)
            book.next(400) shouldBe null
            book.next(500).shouldBeInstanceOf<AdapterOrder.Unload>()
        }

        test("a target that started without its base model gets that first, once, and adapters only afterwards") {
            val book = AdapterBook(2, Popularity())

            fun next(now: Long) = book.nextOrNull(now, "base", inUse = { false }, isCurrent = { true })
            book.report(TargetReport(0, emptySet(), false, emptySet(), emptySet()), 0)
            book.wish(adapter("a"), 0)
            val load = checkNotNull(next(0))
            load shouldBe TargetOrder.LoadModel("base")
            book.answered(load, OrderOutcome.Accepted, 0)
            book.orders shouldBe 1
            next(100) shouldBe null
            next(250) shouldBe load
            book.answered(load, OrderOutcome.Conflict, 250)
            book.needsReport shouldBe false
            book.answered(checkNotNull(next(500)), OrderOutcome.Done, 500)
            book.wish(adapter("a"), 500)
            next(500) shouldBe AdapterOrder.Load(adapter("a"))
            book.orders shouldBe 1
        }

        test("an adapter that a newer version replaces leaves first") {
            val book = AdapterBook(2, Popularity())
            book.report(TargetReport(0, setOf("base"), false, setOf(adapter("a"), adapter("b", 1)), emptySet()), 0)
            book.nextOrNull(400, null, inUse = { false }, isCurrent = { it.name != adapter("b").name })
            book.phases().keys shouldBe setOf(adapter("a"))
        }

        test("a load whose version is overtaken is not repeated, because the target would fetch the newer one") {
            val book = AdapterBook(3, Popularity())
            book.report(TargetReport(0, setOf("base"), false, emptySet(), emptySet()), 0)
            book.wish(adapter("a"), 0)
            val load = book.next(0)
            load shouldNotBe null
            book.answered(checkNotNull(load), OrderOutcome.Accepted, 0)
            book.nextOrNull(1_000, null, inUse = { false }, isCurrent = { false }) shouldBe null
            book.needsReport shouldBe true
        }
    })
