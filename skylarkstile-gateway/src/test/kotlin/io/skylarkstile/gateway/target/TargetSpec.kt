/*
 * Guards against calls to targets that are gone, sick, busy or another incarnation.
 */
package io.skylarkstile.gateway.target

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeSameInstanceAs
import io.kotest.matchers.types.shouldNotBeSameInstanceAs
import io.skylarkstile.gateway.entry
import io.skylarkstile.gateway.target

class TargetSpec :
    FunSpec({
        val choice = TargetChoice("dc-1") { 0.0 }

        test("a leaving target gets no call, and a removed one none at once") {
            val table = TargetTable()
            table.put(entry("a"))
            table.put(entry("a", isReady = false))
            table.ready("models").shouldBeEmpty()
            table.put(entry("b"))
            table.remove("b", 0, afterOutage = false)
            table["b"] shouldBe null
        }

        test("an entry that lapsed during an outage of the store is kept until it has had time to return") {
            val table = TargetTable()
            table.put(entry("a"))
            table.put(entry("b"))
            table.replace(emptyList(), 1_000, afterOutage = true)
            table.ready("models") shouldHaveSize 2
            table.put(entry("a"))
            table.expire(3_199).shouldBeEmpty()
            table.expire(3_200) shouldBe listOf("b")
            table.ready("models").map { it.id } shouldBe listOf("a")
        }

        test("a target that started again under its id has no history") {
            val table = TargetTable()
            val first = table.put(entry("a"))
            table.put(entry("a", slots = 12)) shouldBeSameInstanceAs first
            table.put(entry("a", startedAt = 2)) shouldNotBeSameInstanceAs first
        }

        test("calls go where the answer is expected first: long prompts, waiting calls and failures count") {
            val reading = target("reading").apply { begin(CallWeight(1, 9_000, 9_000), null) }
            val busy = target("busy").apply { repeat(8) { begin(CallWeight(1, 500, 0), null) } }
            val sick = target("sick").apply { repeat(4) { health.failed(0) } }
            val free = target("free", dataCentre = "dc-2")
            choice.chooseOrNull(0, listOf(reading, busy, sick, free), emptySet())?.id shouldBe "free"
            choice.chooseOrNull(0, listOf(reading, busy, sick, free), setOf("free"))?.id shouldBe "busy"
        }

        test("full targets get nothing, and a target that can't be reached is left alone while another one can be") {
            val full = target("full", slots = 1).apply { repeat(3) { begin(CallWeight(1, 0, 0), null) } }
            choice.chooseOrNull(0, listOf(full), emptySet()) shouldBe null
            val dark = target("dark").apply { repeat(2) { health.unreachable(0) } }
            val other = target("other").apply { repeat(5) { begin(CallWeight(1, 0, 0), null) } }
            choice.chooseOrNull(0, listOf(dark, other), emptySet())?.id shouldBe "other"
            choice.chooseOrNull(0, listOf(dark), emptySet())?.id shouldBe "dark"
            choice.chooseOrNull(2_000, listOf(dark), emptySet()) shouldNotBe null
        }
    })
