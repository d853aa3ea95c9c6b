/*
 * Guards against errors that would distort a run without a visible failure, in scenario schedules, summary counts and settings.
 */
package io.skylarkstile.bench

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldBeSorted
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import io.skylarkstile.bench.fleet.settingFindings
import io.skylarkstile.bench.load.CallEnd
import io.skylarkstile.bench.load.CallRecord
import io.skylarkstile.bench.report.summarize
import io.skylarkstile.bench.trace.Arrival
import io.skylarkstile.bench.trace.FleetAction
import io.skylarkstile.bench.trace.QuotaLimits
import io.skylarkstile.bench.trace.Scenario
import io.skylarkstile.bench.trace.Trace
import io.skylarkstile.bench.trace.profiles
import io.skylarkstile.bench.trace.scheduleOf

class RunSpec :
    FunSpec({
        fun actions(scenario: Scenario) = scheduleOf(scenario, 120_000, engines = 13, instances = 6)

        test("each scenario that acts on the fleet does so within the trace, in order, on engines and instances that exist") {
            val acting = Scenario.entries.dropWhile { it != Scenario.EngineRestarts }
            for (scenario in acting) {
                val times = actions(scenario).map { it.atMs }.shouldNotBeEmpty()
                times.shouldBeSorted()
                (times.first() > 0 && times.last() < 120_000) shouldBe true
            }
            (Scenario.entries - acting.toSet()).flatMap { actions(it) }.shouldBeEmpty()
            actions(Scenario.RollingReplacement).map { it.action } shouldBe (0..5).map { FleetAction.ReplaceInstance(it) }
            val restarted = actions(Scenario.EngineRestarts).flatMap { (it.action as FleetAction.RestartEngines).engines }
            (restarted.distinct() == restarted && restarted.all { it in 0..12 }) shouldBe true
        }

        test("store slowdown and platform outage end before the trace does, so that the recovery is measured") {
            actions(Scenario.StoreSlowed).last().action shouldBe FleetAction.SlowStore(1.0)
            actions(Scenario.PlatformOutage).last().action shouldBe FleetAction.PlatformOutage(false)
        }

        test("only refusals within the rate count as wrongful, whatever their reason") {
            val arrivals = (0..9).map { Arrival(it.toLong(), "w", "a", "p", 1) }
            val trace = Trace(profiles.getValue("small"), Scenario.Steady, 1, 10, arrivals)
            val ends = List(3) { CallEnd.Complete } + CallEnd.NotRun + CallEnd.Unknown + List(5) { CallEnd.Refused }
            val records = arrivals.zip(ends) { a, end -> CallRecord(a, end, null, 1.0, 0.0, 0, null) }
            val summary = summarize(trace, records, "ours", mapOf("w" to QuotaLimits(0.001, 6.0, 1e6, 1e6)), leastLoads = 1)
            val workspace = summary.workspaces.getValue("w")
            workspace.withinRate shouldBe 6
            workspace.refusedWithinRate shouldBe 2
            workspace.servedShare shouldBe 0.5
            summary.leastStalledShare shouldBe 0.1
        }

        test("a setting that the entry instances do not know is reported before the fleet starts") {
            settingFindings(emptyMap()).shouldBeEmpty()
            settingFindings(mapOf("target.noSuchKey" to "x")).shouldNotBeEmpty()
        }
    })
