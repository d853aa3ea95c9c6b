/*
 * Command `bench run`: sends a trace to a fleet that it starts or to a running site, and writes the results.
 */
package io.skylarkstile.bench.main

import io.skylarkstile.bench.fleet.ENTRY_COUNT
import io.skylarkstile.bench.fleet.FleetActions
import io.skylarkstile.bench.fleet.FleetMeter
import io.skylarkstile.bench.fleet.SiteFleet
import io.skylarkstile.bench.fleet.settingFindings
import io.skylarkstile.bench.load.CallRecord
import io.skylarkstile.bench.load.LoadGenerator
import io.skylarkstile.bench.report.FleetCounts
import io.skylarkstile.bench.report.Summary
import io.skylarkstile.bench.report.TimelinePoint
import io.skylarkstile.bench.report.summarize
import io.skylarkstile.bench.report.tableOf
import io.skylarkstile.bench.report.timelineOf
import io.skylarkstile.bench.trace.QuotaLimits
import io.skylarkstile.bench.trace.Scenario
import io.skylarkstile.bench.trace.Trace
import io.skylarkstile.bench.trace.generateTrace
import io.skylarkstile.bench.trace.leastLoads
import io.skylarkstile.bench.trace.limitsOf
import io.skylarkstile.bench.trace.profiles
import io.skylarkstile.bench.trace.scenarioOrNull
import io.skylarkstile.bench.trace.scheduleOf
import io.skylarkstile.config.command.usageError
import io.skylarkstile.transport.http.httpClient
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

internal const val CONNECT_TIMEOUT_MS = 1_000L
private const val MS_PER_MINUTE = 60_000.0
private const val NANOS_PER_SECOND = 1e9

/** Time before the first request in which the idle cost of the instances is measured, after [SETTLE_MS] without effects of the start. */
private const val IDLE_MEASUREMENT_MS = 10_000L
private const val SETTLE_MS = 3_000L

/** Generated tokens that a running site's workspaces are assumed to allow for each request within their rate. */
private const val TOKENS_PER_REQUEST = 1_000.0

/** Command-line name of the policy that applies when the setting `target.policy` is absent. */
private const val DEFAULT_POLICY = "ours"
private val policies = listOf(DEFAULT_POLICY, "random", "least-loaded", "hash")
private val pretty = Json { prettyPrint = true }

@OptIn(ExperimentalCli::class)
internal class RunCommand :
    Subcommand("run", "Send a trace to a fleet started for it; writes summary.json, summary.txt and timeline.json") {
    private val profile by option(ArgType.String, "profile", description = "cairo, perth or small").default("small")
    private val scenario by option(
        ArgType.String,
        "scenario",
        description = Scenario.entries.joinToString { it.text },
    ).default(Scenario.Steady.text)
    private val seed by option(ArgType.Int, "seed", description = "Seed of the trace").default(1)
    private val minutes by option(ArgType.Double, "minutes", description = "Length of the trace").default(1.0)
    private val policy by option(ArgType.String, "policy", description = policies.joinToString()).default(DEFAULT_POLICY)
    private val entries by option(
        ArgType.String,
        "entries",
        description = "Caller addresses of a running site's entry instances, comma-separated; if given, no fleet is started",
    )
    private val keys by option(ArgType.String, "keys", description = "workspace=key pairs of a running site, comma-separated")
    private val rate by option(
        ArgType.Double,
        "rate",
        description = "Requests per second, and burst, that the workspace records of a running site allow",
    ).default(1_000.0)
    private val out by option(ArgType.String, "out", description = "Directory of the results").required()

    private class Outcome(
        val records: List<CallRecord>,
        val limits: Map<String, QuotaLimits>,
        val counts: FleetCounts,
    )

    override fun execute() {
        val siteProfile = profiles[profile] ?: usageError("profile '$profile' does not exist; known are ${profiles.keys}")
        val selectedScenario =
            scenarioOrNull(scenario) ?: usageError("scenario '$scenario' does not exist; known are ${Scenario.entries.map { it.text }}")
        if (minutes !in MIN_MINUTES..MAX_MINUTES) usageError("--minutes must be between $MIN_MINUTES and $MAX_MINUTES, not $minutes")
        if (policy !in policies) usageError("policy '$policy' does not exist; known are $policies")
        val directory = directoryOf(out)
        val trace = generateTrace(siteProfile, selectedScenario, seed.toLong(), (minutes * MS_PER_MINUTE).toLong())
        println("profile $profile, scenario $scenario, seed $seed: ${trace.arrivals.size} requests in ${trace.durationMs / 1_000} s")
        val site = entries
        val outcome = if (site == null) runOnNewFleet(trace, directory) else runOnSite(trace, site.split(','))
        val minimumLoads = leastLoads(trace, siteProfile.engines * siteProfile.slots)
        val summary = summarize(trace, outcome.records, policy, outcome.limits, minimumLoads, outcome.counts)
        write(directory, summary, timelineOf(outcome.records))
        tableOf(summary).forEach(::println)
    }

    private fun runOnNewFleet(
        trace: Trace,
        directory: Path,
    ): Outcome {
        if (keys != null) usageError("--keys can only be used with --entries; a fleet that bench starts gets its own keys")
        val overrides = if (policy == DEFAULT_POLICY) emptyMap() else mapOf("target.policy" to policy)
        settingFindings(overrides).firstOrNull()?.let { usageError("the entry instances reject '--policy $policy': $it") }
        val siteProfile = trace.profile
        return SiteFleet(siteProfile, directory.resolve("fleet").toFile(), overrides).use { fleet ->
            runBlocking { fleet.start().run(trace) }
        }
    }

    private suspend fun SiteFleet.run(trace: Trace): Outcome {
        val siteProfile = trace.profile
        val meter = FleetMeter(this)
        delay(SETTLE_MS)
        meter.beginIdle()
        delay(IDLE_MEASUREMENT_MS)
        meter.beginRun()
        val start = System.nanoTime()
        val schedule = scheduleOf(trace.scenario, trace.durationMs, siteProfile.engines, ENTRY_COUNT)
        val seeds = entries.map { it.addresses.caller }
        val records =
            coroutineScope {
                launch { FleetActions(this@run, meter, ::println).run(schedule) }
                LoadGenerator(fleet.client, seeds, keys, trace.scenario == Scenario.MovingCallers).run(trace)
            }
        val counts = meter.end((System.nanoTime() - start) / NANOS_PER_SECOND)
        return Outcome(records, siteProfile.workspaces.associate { it.name to limitsOf(siteProfile, it) }, counts)
    }

    private fun runOnSite(
        trace: Trace,
        seeds: List<String>,
    ): Outcome {
        val keyByWorkspace = pairs(keys ?: usageError("--entries requires --keys"))
        val missing = trace.profile.workspaces.map { it.name } - keyByWorkspace.keys
        if (missing.isNotEmpty()) usageError("--keys has no key for $missing")
        val actions = scheduleOf(trace.scenario, trace.durationMs, trace.profile.engines, ENTRY_COUNT)
        if (actions.isNotEmpty()) usageError("scenario '$scenario' acts on the fleet, so it cannot be used with --entries")
        val records =
            httpClient(CONNECT_TIMEOUT_MS).use { client ->
                runBlocking { LoadGenerator(client, seeds, keyByWorkspace, trace.scenario == Scenario.MovingCallers).run(trace) }
            }
        val limits = QuotaLimits(rate, rate, rate * TOKENS_PER_REQUEST, rate * TOKENS_PER_REQUEST)
        return Outcome(records, trace.profile.workspaces.associate { it.name to limits }, FleetCounts())
    }

    private fun pairs(text: String): Map<String, String> = text.split(',').associate { pair ->
        if ('=' !in pair) usageError("every part of --keys must have the form workspace=key")
        pair.substringBefore('=') to pair.substringAfter('=')
    }

    private fun directoryOf(name: String): Path = try {
        Files.createDirectories(Path.of(name))
    } catch (e: IOException) {
        usageError("cannot create the directory '$name': ${e.message}")
    }

    private fun write(
        directory: Path,
        summary: Summary,
        timeline: List<TimelinePoint>,
    ) {
        Files.writeString(directory.resolve("summary.json"), pretty.encodeToString(Summary.serializer(), summary))
        Files.writeString(directory.resolve("summary.txt"), tableOf(summary).joinToString("\n", postfix = "\n"))
        Files.writeString(directory.resolve("timeline.json"), pretty.encodeToString(ListSerializer(TimelinePoint.serializer()), timeline))
    }

    private companion object {
        const val MIN_MINUTES = 0.1
        const val MAX_MINUTES = 600.0
    }
}
