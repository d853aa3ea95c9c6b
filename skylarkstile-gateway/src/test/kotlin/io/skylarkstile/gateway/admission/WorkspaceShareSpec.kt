/*
 * Guards against workspaces that exceed their rate over all instances together, and against refusals below it.
 */
package io.skylarkstile.gateway.admission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.skylarkstile.gateway.model.TokenRate
import io.skylarkstile.gateway.playSeeds
import kotlin.random.Random

private val tolerance = QuotaTolerance(overage = 0.1, slack = 110_000.0, windowMs = 8_000)
private val rate = TokenRate(perSecond = 100_000.0, burst = 100_000.0, plainTokens = 200)

/** Shares of one workspace on several instances that tell each other their demand and what they have admitted every 250 ms. */
private class Shares(
    instances: Int,
    rate: TokenRate = io.skylarkstile.gateway.admission.rate,
) {
    val shares = List(instances) { WorkspaceShare(rate, 0, instances, tolerance) }
    private val told = Array(instances) { LongArray(instances) }

    fun split(
        now: Long,
        reachable: (Int, Int) -> Boolean = { _, _ -> true },
        last: Array<DoubleArray>,
    ) {
        shares.indices.forEach { i ->
            shares.indices.filter { it != i && reachable(i, it) }.forEach { j ->
                last[i][j] = shares[j].demand(now)
                shares[i].admittedElsewhere(now, shares[j].admitted - told[i][j])
                told[i][j] = shares[j].admitted
            }
        }
        shares.forEachIndexed { i, share ->
            val isKnown = shares.indices.all { it == i || reachable(i, it) }
            share.split(now, last[i].filterIndexed { j, _ -> j != i }.sum(), FleetKnowledge(shares.size, isKnown))
        }
    }
}

class WorkspaceShareSpec :
    FunSpec({
        test("several times the rate on uneven instances stays within rate and burst and what is tolerated") {
            playSeeds(40) { seed ->
                val random = Random(seed)
                val weights = List(3 + random.nextInt(4)) { random.nextInt(11) }
                val fleet = Shares(weights.size)
                val last = Array(weights.size) { DoubleArray(weights.size) }
                val admitted = ArrayList<Pair<Long, Int>>()
                val cut = random.nextInt(weights.size)
                for (now in 0L..30_000L step 10) {
                    if (now % 250 == 0L) fleet.split(now, { i, j -> now < 12_000 || (i != cut && j != cut) }, last)
                    val at = weights.indices.filter { random.nextInt(11) < weights[it] + 1 }
                    at.forEach { i ->
                        val cost = 200 + random.nextInt(6_000)
                        if (fleet.shares[i].admit(now, cost)) admitted.add(now to cost)
                    }
                }
                val most =
                    (0L..22_000L step 500).maxOf { from ->
                        admitted.filter { it.first in from until from + 8_000 }.sumOf { it.second }
                    }
                most.toDouble() shouldBeLessThanOrEqualTo (8 * 100_000 + 100_000) * 1.1 + 110_000
            }
        }

        test("demand below the rate is admitted whole, large calls on few instances included") {
            val fleet = Shares(6)
            val last = Array(6) { DoubleArray(6) }
            val random = Random(7)
            var refused = 0
            for (now in 0L..30_000L step 10) {
                if (now % 250 == 0L) fleet.split(now, last = last)
                val cost = if (random.nextInt(40) == 0) 9_000 else 350
                if (!fleet.shares[random.nextInt(6)].admit(now, cost)) refused++
            }
            refused shouldBe 0
        }

        test("a few calls far larger than a share are admitted while the workspace is below its rate, and its small ones too") {
            val small = TokenRate(perSecond = 16_000.0, burst = 30_000.0, plainTokens = 200)
            val fleet = Shares(6, small)
            val last = Array(6) { DoubleArray(6) }
            val random = Random(11)
            var refused = 0
            for (now in 0L..60_000L step 10) {
                if (now % 250 == 0L) fleet.split(now, last = last)
                if (now < 5_000) continue
                val cost = if (now % 4_000 == 0L) 18_000 else 350
                val arrives = now % 4_000 == 0L || random.nextInt(10) == 0
                if (arrives && !fleet.shares[random.nextInt(6)].admit(now, cost)) refused++
            }
            refused shouldBe 0
        }

        // A workspace just above its rate had a third of its burst refused, since calls beyond a share had to leave that much over.
        test("a workspace above its rate gets at least nine tenths of what one bucket for the whole fleet would admit") {
            val small = TokenRate(perSecond = 20_000.0, burst = 20_000.0, plainTokens = 200)
            val fleet = Shares(6, small)
            val last = Array(6) { DoubleArray(6) }
            val random = Random(13)
            var level = small.burst
            var ideal = 0
            var admitted = 0
            for (now in 0L..60_000L step 10) {
                if (now % 250 == 0L) fleet.split(now, last = last)
                if (now < 5_000) continue
                level = minOf(small.burst, level + small.perSecond / 100)
                if (random.nextInt(4) != 0) continue
                // Every other 4 s the workspace asks for about twice its rate, in calls of very different sizes.
                if ((now / 4_000) % 2 == 0L && random.nextInt(3) != 0) continue
                val cost = if (random.nextInt(12) == 0) 9_000 else 900
                if (level >= cost) {
                    level -= cost
                    ideal += cost
                }
                if (fleet.shares[random.nextInt(6)].admit(now, cost)) admitted += cost
            }
            admitted shouldBeGreaterThanOrEqualTo ideal * 9 / 10
        }

        test("a lowered rate holds at once and a call that did not run is given back") {
            val share = WorkspaceShare(rate, 0, 1, tolerance)
            share.change(0, rate.copy(perSecond = 1_000.0, burst = 1_000.0))
            var admitted = 0
            while (share.admit(0, 1_000)) admitted += 1_000
            share.refund(0, 1_000)
            share.admit(0, 1_000) shouldBe true
            (share.waitMs(0, 1_000) > 0) shouldBe true
        }
    })
