/*
 * Guards against an adapter that two instances load at two targets at once, calls that wait where a copy is ready, hot adapters on one
 * target, and versions loaded over older ones that calls still use.
 */
package io.skylarkstile.gateway.adapter

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.skylarkstile.gateway.adapter
import io.skylarkstile.gateway.target
import io.skylarkstile.gateway.target.AdapterPhase
import io.skylarkstile.gateway.target.CallWeight
import io.skylarkstile.gateway.target.TargetChoice
import io.skylarkstile.gateway.target.TargetState

private fun placement(dataCentre: String = "dc-1") = AdapterPlacement(TargetChoice(dataCentre) { 0.5 })

private fun homeOf(
    name: String,
    targets: List<TargetState>,
    dataCentre: String = "dc-1",
) = (placement(dataCentre).place(0, adapter(name), targets, emptySet()) as Placement.Await).target.id

class AdapterPlacementSpec :
    FunSpec({
        test("all instances choose the same home, and homes spread evenly") {
            val targets = List(10) { target("t-$it", dataCentre = "dc-${it % 2}") }
            val homes = (1..1_000).map { homeOf("a$it", targets) }
            homes shouldBe (1..1_000).map { homeOf("a$it", targets.reversed(), "dc-0") }
            homes
                .groupingBy { it }
                .eachCount()
                .values
                .max() shouldBeLessThan 150
        }

        test("a target that goes moves only its own adapters") {
            val targets = List(10) { target("t-$it") }
            val before = (1..500).associateWith { homeOf("a$it", targets) }
            val after = (1..500).associateWith { homeOf("a$it", targets.drop(1)) }
            before.filterValues { it != "t-0" }.all { (adapter, home) -> after[adapter] == home } shouldBe true
        }

        test("a call runs where the adapter is present, and waits where it loads") {
            val targets = List(3) { target("t-$it") }
            targets[1].adapters = mapOf(adapter("a") to AdapterPhase.Loading(50))
            val waiting = placement().place(0, adapter("a"), targets, emptySet())
            waiting shouldBe Placement.Await(targets[1], 50)
            targets[2].adapters = mapOf(adapter("a") to AdapterPhase.Present)
            placement().place(0, adapter("a"), targets, emptySet()) shouldBe Placement.Run(targets[2])
        }

        test("an adapter whose targets are busy with prompts gets one more copy elsewhere, and only one at a time") {
            val targets = List(4) { target("t-$it") }
            targets[0].adapters = mapOf(adapter("a") to AdapterPhase.Present)
            placement().copyOrNull(0, adapter("a"), targets) shouldBe null
            targets[0].begin(CallWeight(1, 9_000, 9_000), adapter("a"))
            val copy = placement().copyOrNull(0, adapter("a"), targets)
            copy shouldNotBe null
            checkNotNull(copy).adapters = mapOf(adapter("a") to AdapterPhase.Loading(300))
            placement().copyOrNull(0, adapter("a"), targets) shouldBe null
        }

        test("a new version isn't loaded over an older one, which would wait for its runs and hold up all other orders") {
            val targets = List(2) { target("t-$it") }
            val home = homeOf("a", targets)
            targets.first { it.id == home }.adapters = mapOf(adapter("a", 1) to AdapterPhase.Present)
            val moved = placement().place(0, adapter("a", 2), targets, emptySet()).shouldBeInstanceOf<Placement.Await>()
            moved.target.id shouldNotBe home
        }

        test("without a target that anyone orders the call is refused at once") {
            val target = target("t").apply { orderableUntil = -1 }
            placement().place(0, adapter("a"), listOf(target), emptySet()) shouldBe Placement.None
        }
    })
