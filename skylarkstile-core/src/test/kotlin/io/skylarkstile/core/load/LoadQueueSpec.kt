/*
 * Guards against overloading the weight store: permits must not exceed the rate and the number of concurrent loads, whichever loads are
 * requested and however they end.
 */
package io.skylarkstile.core.load

import io.kotest.assertions.withClue
import io.kotest.common.ExperimentalKotest
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

private class GrantedPermit(
    val at: Long,
    val permit: Permit,
)

private fun checkScenario(seed: Long): Int {
    val random = Random(seed)
    val limits = LoadLimits(random.nextDouble(0.5, 20.0), random.nextInt(1, 6), random.nextInt(1, 8), 2_000)
    var now = random.nextLong(10_000)
    val queue = LoadQueue(limits, now, hasPredecessor = random.nextBoolean())
    val open = ArrayList<GrantedPermit>()
    val all = ArrayList<GrantedPermit>()
    repeat(400) {
        now += random.nextLong(0, 100)
        val key = LoadKey("t${random.nextInt(4)}", "a${random.nextInt(12)}")
        queue.ask(key, random.nextInt(1, 20), random.nextLong(3_000), now)
        queue.grantTo(key, now).permitOrNull?.let { permit -> GrantedPermit(now, permit).also { open.add(it) }.also { all.add(it) } }
        if (open.isNotEmpty() && random.nextInt(3) == 0) queue.done(open.removeAt(random.nextInt(open.size)).permit.number)
        open.removeIf { it.permit.expiresAt <= now }
        open.size shouldBeLessThanOrEqual limits.loadsAtOnce
        open.map { it.permit.key.adapter }.distinct().size shouldBeLessThanOrEqual limits.adaptersInFlight
    }
    for (first in all.indices) {
        for (last in first until all.size) {
            val allowed = limits.loadsPerSecond * (all[last].at - all[first].at) / 1_000 + limits.loadsAtOnce + 1e-6
            (last - first + 1).toDouble() shouldBeLessThanOrEqual allowed
        }
    }
    return all.size
}

@OptIn(ExperimentalKotest::class)
class LoadQueueSpec :
    FunSpec({
        test("permits never exceed the rate in any window, nor loads at once, nor adapters in flight") {
            var permits = 0
            checkAll(PropTestConfig(seed = 20_261_204, iterations = 300), Arb.long()) { seed ->
                withClue("seed $seed") { permits += checkScenario(seed) }
            }
            println("LoadQueueSpec: $permits permits checked")
        }

        test("the adapter with the most waiting requests is first unless a request has waited much longer for another one") {
            val limits = LoadLimits(10.0, 1, 8, 2_000)
            val many = LoadKey("t", "many")
            val old = LoadKey("t", "old")

            fun winner(oldestMs: Long): String {
                val queue = LoadQueue(limits, 0, hasPredecessor = false)
                queue.ask(many, 10, 0, 1_000)
                queue.ask(old, 1, oldestMs, 1_000)
                return listOf(many, old).first { queue.grantTo(it, 1_000).permitOrNull != null }.adapter
            }
            winner(oldestMs = 500) shouldBe "many"
            winner(oldestMs = 2_000) shouldBe "old"
        }

        test("an ask that is not renewed does not block others, and a permit that is not returned expires") {
            val queue = LoadQueue(LoadLimits(10.0, 1, 8, 2_000), 0, hasPredecessor = false)
            queue.ask(LoadKey("t", "gone"), 50, 0, 0)
            queue.ask(LoadKey("t", "a"), 1, 0, 1_500)
            (queue.grantTo(LoadKey("t", "a"), 1_500).permitOrNull != null) shouldBe true
            queue.ask(LoadKey("t", "b"), 1, 0, 3_400)
            queue.grantTo(LoadKey("t", "b"), 3_400).reason shouldBe "loads-at-once"
            queue.grantTo(LoadKey("t", "b"), 3_500).reason shouldBe "granted"
        }

        test("without an owner only the first members load, one at a time, at rate/N") {
            val members = listOf("e3", "e1", "e2", "e4")
            val pace = FallbackPace(LoadLimits(2.0, 2, 8, 2_000))
            pace.refusalOrNull("e3", members, 0) shouldBe "not-among-first-members"
            pace.refusalOrNull("e2", members, 0) shouldBe null
            pace.start(members.size, 0)
            pace.refusalOrNull("e2", members, 5_000) shouldBe "load-running"
            pace.end()
            pace.refusalOrNull("e2", members, 1_999) shouldBe "rate"
            pace.refusalOrNull("e2", members, 2_000) shouldBe null
        }
    })
