/*
 * Tests the basis of the measures: reproducible traces, the lower bound on loads and the reference quota.
 */
package io.skylarkstile.bench

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import io.skylarkstile.bench.trace.Arrival
import io.skylarkstile.bench.trace.IdealQuota
import io.skylarkstile.bench.trace.QuotaLimits
import io.skylarkstile.bench.trace.Scenario
import io.skylarkstile.bench.trace.Trace
import io.skylarkstile.bench.trace.generateTrace
import io.skylarkstile.bench.trace.leastLoads
import io.skylarkstile.bench.trace.limitsOf
import io.skylarkstile.bench.trace.profiles

class TraceSpec :
    FunSpec({
        val cairo = profiles.getValue("cairo")

        fun traceOf(adapters: List<Int>) =
            Trace(cairo, Scenario.Steady, 1, 1_000, adapters.mapIndexed { i, a -> Arrival(i.toLong(), "w", "adapter-$a", "p", 1) })

        test("the same seed gives the same trace, and another seed gives a different one") {
            val first = generateTrace(cairo, Scenario.Steady, 7, 20_000)
            generateTrace(cairo, Scenario.Steady, 7, 20_000) shouldBe first
            generateTrace(cairo, Scenario.Steady, 8, 20_000) shouldNotBe first
            (first.arrivals.size / 20.0).shouldBeBetween(25.0, 35.0, 0.0)
        }

        test("the greedy workspace sends five times its rate, and the others send as in the steady trace") {
            fun arrivals(scenario: Scenario) = generateTrace(cairo, scenario, 3, 60_000).arrivals.partition { it.workspace == "cairo-0" }
            val (greedy, others) = arrivals(Scenario.GreedyWorkspace)
            val rate = limitsOf(cairo, cairo.workspaces[0]).requestsPerSecond
            (greedy.size / 60.0 / rate).shouldBeBetween(4.5, 5.5, 0.0)
            others shouldBe arrivals(Scenario.Steady).second
        }

        test("a steady trace is within rate, so that its refusals are wrongful ones") {
            val arrivals = generateTrace(cairo, Scenario.Steady, 3, 120_000).arrivals.groupBy { it.workspace }
            for (workspace in cairo.workspaces) {
                val quota = IdealQuota(limitsOf(cairo, workspace))
                val refused = arrivals.getValue(workspace.name).count { !quota.admits(it.atMs, it.maxTokens) }
                (refused / arrivals.getValue(workspace.name).size.toDouble()).shouldBeBetween(0.0, 0.02, 0.0)
            }
        }

        test("the bound counts each adapter once when all fit, and every request with one slot and alternating adapters") {
            leastLoads(traceOf(listOf(1, 2, 1, 2)), slots = 2) shouldBe 2
            leastLoads(traceOf(listOf(1, 2, 1, 2)), slots = 1) shouldBe 4
            leastLoads(traceOf(listOf(1, 2, 3, 1, 2)), slots = 2) shouldBe 4
        }

        test("no least-recently-used cache of the same size needs fewer loads than the bound") {
            checkAll(200, Arb.list(Arb.int(0..9), 1..80), Arb.int(1..6)) { adapters, slots ->
                val cache = LinkedHashMap<Int, Unit>(16, 0.75f, true)
                val loads =
                    adapters.count { a ->
                        val miss = cache[a] == null
                        cache[a] = Unit
                        if (cache.size > slots) cache.remove(cache.keys.first())
                        miss
                    }
                leastLoads(traceOf(adapters), slots) shouldBeLessThanOrEqual loads
            }
        }

        test("the reference quota admits the burst, then the rate") {
            val quota = IdealQuota(QuotaLimits(2.0, 3.0, 1_000.0, 1_000.0))
            List(5) { quota.admits(0, 1) } shouldBe listOf(true, true, true, false, false)
            quota.admits(500, 1) shouldBe true
            quota.admits(500, 1) shouldBe false
        }
    })
