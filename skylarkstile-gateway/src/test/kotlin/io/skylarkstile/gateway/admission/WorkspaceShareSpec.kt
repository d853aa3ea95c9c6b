/*
 * Guards against workspaces that exceed their rate over all instances together, and against refusals below that rate.
 */
package io.skylarkstile.gateway.admission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.skylarkstile.gateway.forEachSeed
import io.skylarkstile.gateway.model.TokenRate
import kotlin.random.Random

private val tolerance = QuotaTolerance(overage = 0.1, slack = 110_000.0, windowMs = 8_000)
private val rate = TokenRate(perSecond = 100_000.0, burst = 100_000.0, defaultCost = 200)

/** Shares of one workspace on several instances, which report to each other on each [split]; the tests call it every 250 ms. */
private class SimulatedFleet(
    instances: Int,
    rate: TokenRate = io.skylarkstile.gateway.admission.rate,
) {
    val shares = List(instances) { WorkspaceShare(rate, 0, instances, tolerance) }
    private val reportedAdmitted = Array(instances) { LongArray(instances) }

    fun split(
        now: Long,
        reachable: (Int, Int) -> Boolean = { _, _ -> true },
        lastDemands: Array<DoubleArray>,
    ) {
        shares.indices.forEach { i ->
            shares.indices.filter { it != i && reachable(i, it) }.forEach { j ->
                lastDemands[i][j] = shares[j].demand(now)
                shares[i].deductFromFleet(now, shares[j].admitted - reportedAdmitted[i][j])
                reportedAdmitted[i][j] = shares[j].admitted
            }
        }
        shares.forEachIndexed { i, share ->
            val isComplete = shares.indices.all { it == i || reachable(i, it) }
            share.rebalance(now, lastDemands[i].filterIndexed { j, _ -> j != i }.sum(), FleetStatus(shares.size, isComplete))
        }
    }
}

class WorkspaceShareSpec :
    FunSpec({
        test("unevenly distributed demand of several times the rate stays within rate, burst and tolerance") {
            forEachSeed(40) { seed ->
                val random = Random(seed)
                val weights = List(3 + random.nextInt(4)) { random.nextInt(11) }
                val fleet = SimulatedFleet(weights.size)
                val lastDemands = Array(weights.size) { DoubleArray(weights.size) }
                val admitted = ArrayList<Pair<Long, Int>>()
                val disconnected = random.nextInt(weights.size)
                for (now in 0L..30_000L step 10) {
                    if (now % 250 == 0L) fleet.split(now, { i, j -> now < 12_000 || (i != disconnected && j != disconnected) }, lastDemands)
                    val receiving = weights.indices.filter { random.nextInt(11) < weights[it] + 1 }
                    receiving.forEach { i ->
                        val cost = 200 + random.nextInt(6_000)
                        if (fleet.shares[i].admit(now, cost)) admitted.add(now to cost)
                    }
                }
                val maxAdmitted =
                    (0L..22_000L step 500).maxOf { from ->
                        admitted.filter { it.first in from until from + 8_000 }.sumOf { it.second }
                    }
                maxAdmitted.toDouble() shouldBeLessThanOrEqualTo (8 * 100_000 + 100_000) * 1.1 + 110_000
            }
        }

        test("demand below the rate is admitted completely, including large calls on few instances") {
            val fleet = SimulatedFleet(6)
            val lastDemands = Array(6) { DoubleArray(6) }
            val random = Random(7)
            var refused = 0
            for (now in 0L..30_000L step 10) {
                if (now % 250 == 0L) fleet.split(now, lastDemands = lastDemands)
                val cost = if (random.nextInt(40) == 0) 9_000 else 350
                if (!fleet.shares[random.nextInt(6)].admit(now, cost)) refused++
            }
            refused shouldBe 0
        }

        test("a few calls far larger than a share and the small calls are admitted while the workspace is below its rate") {
            val small = TokenRate(perSecond = 16_000.0, burst = 30_000.0, defaultCost = 200)
            val fleet = SimulatedFleet(6, small)
            val lastDemands = Array(6) { DoubleArray(6) }
            val random = Random(11)
            var refused = 0
            for (now in 0L..60_000L step 10) {
                if (now % 250 == 0L) fleet.split(now, lastDemands = lastDemands)
                if (now < 5_000) continue
                val cost = if (now % 4_000 == 0L) 18_000 else 350
                val arrives = now % 4_000 == 0L || random.nextInt(10) == 0
                if (arrives && !fleet.shares[random.nextInt(6)].admit(now, cost)) refused++
            }
            refused shouldBe 0
        }

        // Calls beyond a share had to leave a third of the burst unused, so a workspace just above its rate was refused that much.
        test("a workspace above its rate gets at least nine tenths of what a single fleet-wide bucket would admit") {
            val small = TokenRate(perSecond = 20_000.0, burst = 20_000.0, defaultCost = 200)
            val fleet = SimulatedFleet(6, small)
            val lastDemands = Array(6) { DoubleArray(6) }
            val random = Random(13)
            var level = small.burst
            var idealAdmitted = 0
            var admitted = 0
            for (now in 0L..60_000L step 10) {
                if (now % 250 == 0L) fleet.split(now, lastDemands = lastDemands)
                if (now < 5_000) continue
                level = minOf(small.burst, level + small.perSecond / 100)
                if (random.nextInt(4) != 0) continue
                // In every other period of 4 s the workspace requests about twice its rate, in calls of very different sizes.
                if ((now / 4_000) % 2 == 0L && random.nextInt(3) != 0) continue
                val cost = if (random.nextInt(12) == 0) 9_000 else 900
                if (level >= cost) {
                    level -= cost
                    idealAdmitted += cost
                }
                if (fleet.shares[random.nextInt(6)].admit(now, cost)) admitted += cost
            }
            admitted shouldBeGreaterThanOrEqualTo idealAdmitted * 9 / 10
        }

        test("a lowered rate applies at once, and the tokens of a call that did not run are returned") {
            val share = WorkspaceShare(rate, 0, 1, tolerance)
            share.changeRate(0, rate.copy(perSecond = 1_000.0, burst = 1_000.0))
            var admitted = 0
            while (share.admit(0, 1_000)) admitted += 1_000
            share.refund(0, 1_000)
            share.admit(0, 1_000) shouldBe true
            (share.retryAfterMs(0, 1_000) > 0) shouldBe true
        }
    })
