/*
 * Guards against calls to targets that are gone, failing, busy or restarted.
 */
package io.skylarkstile.gateway.target

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeSameInstanceAs
import io.kotest.matchers.types.shouldNotBeSameInstanceAs
import io.skylarkstile.gateway.ManualScheduler
import io.skylarkstile.gateway.entry
import io.skylarkstile.gateway.target

class TargetSpec :
    FunSpec({
        val selector = TargetSelector("dc-1") { 0.0 }

        test("a draining target gets no new calls, and a removed one is dropped at once") {
            val table = TargetTable()
            table.put(entry("a"))
            table.put(entry("a", isReady = false))
            table.ready("models").shouldBeEmpty()
            table.put(entry("b"))
            table.remove("b", 0, reappearUntil = null)
            table["b"] shouldBe null
        }

        test("an entry that expired during a store outage is kept until it has had time to return") {
            val table = TargetTable()
            table.put(entry("a"))
            table.put(entry("b"))
            table.replace(emptyList(), 1_000, reappearUntil = 3_200)
            table.ready("models") shouldHaveSize 2
            table.put(entry("a"))
            table.removeExpired(3_199).shouldBeEmpty()
            table.removeExpired(3_200) shouldBe listOf("b")
            table.ready("models").map { it.id } shouldBe listOf("a")
        }

        test("a target that restarted under the same id has no history") {
            val table = TargetTable()
            val first = table.put(entry("a"))
            table.put(entry("a", slots = 12)) shouldBeSameInstanceAs first
            table.put(entry("a", startedAt = 2)) shouldNotBeSameInstanceAs first
        }

        test("calls go to the target expected to respond first, considering long prompts, queued calls and failures") {
            val reading = target("reading").apply { addCall(CallWeight(1, 9_000, 9_000), null) }
            val busy = target("busy").apply { repeat(8) { addCall(CallWeight(1, 500, 0), null) } }
            val sick = target("sick").apply { repeat(4) { health.recordFailure(0) } }
            val free = target("free", dataCentre = "dc-2")
            selector.chooseOrNull(0, listOf(reading, busy, sick, free), emptySet())?.id shouldBe "free"
            selector.chooseOrNull(0, listOf(reading, busy, sick, free), setOf("free"))?.id shouldBe "busy"
        }

        test("full targets get no calls, and an unreachable target gets none while another one is reachable") {
            val full = target("full", slots = 1).apply { repeat(3) { addCall(CallWeight(1, 0, 0), null) } }
            selector.chooseOrNull(0, listOf(full), emptySet()) shouldBe null
            val dark = target("dark").apply { repeat(2) { health.recordUnreachable(0) } }
            val other = target("other").apply { repeat(5) { addCall(CallWeight(1, 0, 0), null) } }
            selector.chooseOrNull(0, listOf(dark, other), emptySet())?.id shouldBe "other"
            selector.chooseOrNull(0, listOf(dark), emptySet())?.id shouldBe "dark"
            selector.chooseOrNull(2_000, listOf(dark), emptySet()) shouldNotBe null
        }

        // A crashed target whose connections stayed open kept getting all calls for its adapters until its entry expired, 3.6 s later.
        test("a target that sends nothing while calls are on it gets no further call until it answers a probe") {
            val scheduler = ManualScheduler()
            val table = TargetTable()
            val dark = table.put(entry("dark"))
            val other = table.put(entry("other")).apply { repeat(5) { addCall(CallWeight(1, 0, 0), null) } }
            var answers = false
            var probed = 0
            var moved = 0
            val prober = TargetProber(table, { _, done -> done(answers).also { probed++ } }, scheduler::now) { moved++ }

            fun chosen() = selector.chooseOrNull(scheduler.now(), table.ready("models"), emptySet())

            dark.silence.callSent(scheduler.now())
            scheduler.advance(SILENCE_TIMEOUT_MS - 1)
            chosen() shouldBe dark
            scheduler.advance(1)
            chosen() shouldBe other
            repeat(20) { prober.tick(scheduler.now()).also { scheduler.advance(50) } }
            moved shouldBe probed
            probed shouldBeLessThan 5
            // A call that ends without a response does not show that the target is reachable.
            dark.silence.callEnded()
            chosen() shouldBe other
            answers = true
            scheduler.advance(2_000)
            prober.tick(scheduler.now())
            chosen() shouldBe dark
        }

        test("a target that sends data from time to time isn't suspected, nor is one without calls") {
            val target = target("a")
            target.isSuspected(10_000) shouldBe false
            target.silence.callSent(10_000)
            target.recordActivity(10_300)
            target.isSuspected(10_600) shouldBe false
            target.silence.callEnded()
            target.isSuspected(20_000) shouldBe false
            target.silence.callSent(20_000)
            target.isSuspected(20_300) shouldBe false
        }
    })
