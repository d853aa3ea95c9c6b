/*
 * Guards against two instances that load an adapter on two targets at once, calls that wait although a copy is ready, popular adapters on
 * a single target, and versions loaded over older ones that calls still use.
 */
package io.skylarkstile.gateway.adapter

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.skylarkstile.gateway.adapter
import io.skylarkstile.gateway.model.NamedLimit
import io.skylarkstile.gateway.target
import io.skylarkstile.gateway.target.AdapterPhase
import io.skylarkstile.gateway.target.CallWeight
import io.skylarkstile.gateway.target.TargetSelector
import io.skylarkstile.gateway.target.TargetState

private fun placement(dataCentre: String = "dc-1") = AdapterPlacement(TargetSelector(dataCentre) { 0.5 })

private fun preferredTarget(
    name: String,
    targets: List<TargetState>,
    dataCentre: String = "dc-1",
) = (placement(dataCentre).place(0, adapter(name), targets, emptySet()) as Placement.LoadAndWait).target.id

class AdapterPlacementSpec :
    FunSpec({
        test("all instances prefer the same target for an adapter, and adapters are spread evenly") {
            val targets = List(10) { target("t-$it", dataCentre = "dc-${it % 2}") }
            val preferred = (1..1_000).map { preferredTarget("a$it", targets) }
            preferred shouldBe (1..1_000).map { preferredTarget("a$it", targets.reversed(), "dc-0") }
            preferred
                .groupingBy { it }
                .eachCount()
                .values
                .max() shouldBeLessThan 150
        }

        test("removing a target moves only the adapters that prefer it") {
            val targets = List(10) { target("t-$it") }
            val before = (1..500).associateWith { preferredTarget("a$it", targets) }
            val after = (1..500).associateWith { preferredTarget("a$it", targets.drop(1)) }
            before.filterValues { it != "t-0" }.all { (adapter, preferredId) -> after[adapter] == preferredId } shouldBe true
        }

        test("a call runs on a target that has the adapter, otherwise waits for one that is loading it") {
            val targets = List(3) { target("t-$it") }
            targets[1].adapters = mapOf(adapter("a") to AdapterPhase.Loading(50))
            val waiting = placement().place(0, adapter("a"), targets, emptySet())
            waiting shouldBe Placement.LoadAndWait(targets[1], 50)
            targets[2].adapters = mapOf(adapter("a") to AdapterPhase.Present)
            placement().place(0, adapter("a"), targets, emptySet()) shouldBe Placement.Run(targets[2])
        }

        test("an adapter whose targets are busy with prompts is copied to another target, one copy at a time") {
            val targets = List(4) { target("t-$it") }
            targets[0].adapters = mapOf(adapter("a") to AdapterPhase.Present)
            placement().copyTargetOrNull(0, adapter("a"), targets) shouldBe null
            targets[0].addCall(CallWeight(1, 9_000, 9_000), adapter("a"))
            val copy = placement().copyTargetOrNull(0, adapter("a"), targets)
            copy shouldNotBe null
            checkNotNull(copy).adapters = mapOf(adapter("a") to AdapterPhase.Loading(300))
            placement().copyTargetOrNull(0, adapter("a"), targets) shouldBe null
        }

        test("adapters are loaded on targets without a limit first, since calls for them would soon have to be loaded elsewhere again") {
            val targets = List(4) { target("t-$it") }
            val preferredId = preferredTarget("a", targets)
            val limited = targets.first { it.id == preferredId }
            limited.callLimit.observe(0, 0, NamedLimit.CallRate(4.0))
            preferredTarget("a", targets) shouldNotBe preferredId
            (targets - limited).forEach { it.addCall(CallWeight(1, 9_000, 9_000), null) }
            preferredTarget("a", targets) shouldBe preferredId
        }

        test("an adapter whose only copy is on a target with a used-up limit is copied to a target without a limit, but to no other") {
            val targets = List(3) { target("t-$it") }
            targets.forEach { it.callLimit.observe(0, 0, NamedLimit.CallRate(4.0)) }
            targets[0].adapters = mapOf(adapter("a") to AdapterPhase.Present)
            targets[0].callLimit.block(700)
            placement().place(0, adapter("a"), targets, emptySet()) shouldBe Placement.Blocked(700)
            val free = target("free")
            placement().place(0, adapter("a"), targets + free, emptySet()) shouldBe Placement.LoadAndWait(free, null)
            placement().place(700, adapter("a"), targets + free, emptySet()) shouldBe Placement.Run(targets[0])
        }

        test("a new version isn't loaded over an older one, which would wait for running calls and block all other orders") {
            val targets = List(2) { target("t-$it") }
            val preferredId = preferredTarget("a", targets)
            targets.first { it.id == preferredId }.adapters = mapOf(adapter("a", 1) to AdapterPhase.Present)
            val moved = placement().place(0, adapter("a", 2), targets, emptySet()).shouldBeInstanceOf<Placement.LoadAndWait>()
            moved.target.id shouldNotBe preferredId
        }

        test("a call is refused at once if no target can be given orders") {
            val target = target("t").apply { orderableUntil = -1 }
            placement().place(0, adapter("a"), listOf(target), emptySet()) shouldBe Placement.NoTarget
        }
    })
