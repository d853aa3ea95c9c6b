/*
 * Guards against evicting adapters that are needed again immediately, unnecessary loads, and instances that choose different homes for an
 * adapter.
 */
package io.skylarkstile.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import io.skylarkstile.schema.generated.TargetSettings.Policy

private val costs = PlacementCosts(requestMs = 1_000.0, loadMs = 500.0)

private fun view(
    target: String,
    load: Int = 0,
    loaded: Boolean = false,
    loading: Boolean = false,
    reachable: Boolean = true,
) = TargetView(target, loaded, loading, load, 8, reachable)

class PlacementSpec :
    FunSpec({
        test("popularity halves in 120 s and matches the rate of steady requests") {
            val popularity = Popularity()
            for (at in 0L..1_200_000L step 500) popularity.record("a", at)
            popularity.rate("a", 1_200_000) shouldBe (2.0 plusOrMinus 0.1)
            popularity.rate("a", 1_320_000) shouldBe (1.0 plusOrMinus 0.05)
        }

        test("the victim is a stale handle, else the least popular, and none while all are needed soon") {
            val popular = IdleHandle("p", true, 5.0, 0)
            val rare = IdleHandle("r", true, 0.1, 50)
            chooseVictim(listOf(popular, rare, IdleHandle("s", false, 9.0, 90)), 250, 0).handleOrNull shouldBe "s"
            chooseVictim(listOf(popular, rare), 250, 0).handleOrNull shouldBe "r"
            chooseVictim(listOf(popular), 250, 100) shouldBe VictimChoice(null, "all-needed-soon")
            chooseVictim(listOf(popular), 250, 250).handleOrNull shouldBe "p"
            chooseVictim(emptyList(), 250, 9_000) shouldBe VictimChoice(null, "all-in-use")
        }

        test("another target loads an adapter only when the wait exceeds the cost of a load") {
            rankTargets("a@1", listOf(view("t1"), view("t2", load = 8, loaded = true)), costs).first().target shouldBe "t2"
            rankTargets("a@1", listOf(view("t1"), view("t2", load = 14, loaded = true)), costs).first().target shouldBe "t1"
            rankTargets("a@1", listOf(view("t1"), view("t2", loading = true)), costs).first().target shouldBe "t2"
        }

        test("an unreachable owner comes last") {
            rankTargets("a@1", listOf(view("t1"), view("t2", loaded = true, reachable = false)), costs).first().target shouldBe "t1"
        }

        test("each value of target.policy gives its own order, with unreachable owners last") {
            val targets = (1..13).map { view("t$it", load = it % 7 + 1, loaded = it == 3, reachable = it != 7) }

            fun orders(choice: Policy) = (1..200).map { n -> routingPolicy(choice).rank("a$n@1", targets, costs).map { it.target } }
            Policy.entries.forEach { choice -> orders(choice).map { it.last() }.distinct() shouldBe listOf("t7") }
            orders(Policy.Ours).map { it.first() }.distinct() shouldBe listOf("t3")
            orders(Policy.LeastLoaded).map { it.first() }.toSet() shouldBe setOf("t1", "t8")
            orders(Policy.Hash) shouldBe orders(Policy.Hash)
            orders(Policy.Hash).map { it.first() }.distinct().size shouldBe 12
            (orders(Policy.Random) == orders(Policy.Random)) shouldBe false
        }

        test("of its two homes an adapter goes to the one that evicts a less popular adapter, and never to a third") {
            val order = rankTargets("a7@1", (1..13).map { view("t$it") }, costs).map { it.target }

            fun first(vararg rates: Double) = rankTargets(
                "a7@1",
                order.mapIndexed {
                    at,
                    name,
                    ->
                    view(name).copy(victimRate = rates.getOrElse(at) { 0.0 })
                },
                costs,
            ).first().target
            first(0.2, 0.1) shouldBe order[1]
            first(0.1, 0.2) shouldBe order[0]
            first(0.1, 0.1) shouldBe order[0]
            first(Double.POSITIVE_INFINITY, 0.3) shouldBe order[1]
        }

        test("homes spread evenly, do not depend on the order of targets, and avoid busy targets") {
            val targets = (1..13).map { view("t$it") }
            val homes = (1..3_000).groupingBy { rankTargets("a$it@1", targets, costs).first().target }.eachCount()
            homes.values.max() shouldBeLessThan 3_000 / 13 * 13 / 10
            val home = rankTargets("a7@1", targets, costs).first().target
            rankTargets("a7@1", targets.reversed(), costs).first().target shouldBe home
            val busy = targets.map { if (it.target == home) view(home, load = 7) else it }
            (rankTargets("a7@1", busy, costs).first().target == home) shouldBe false
        }
    })
