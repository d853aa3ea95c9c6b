/*
 * `bench run`: sends a trace to a running site.
 */
package io.skylarkstile.bench.main

import io.skylarkstile.bench.load.LoadGenerator
import io.skylarkstile.bench.report.Summary
import io.skylarkstile.bench.report.TimelinePoint
import io.skylarkstile.bench.report.summarize
import io.skylarkstile.bench.report.timelineOf
import io.skylarkstile.bench.trace.QuotaLimits
import io.skylarkstile.bench.trace.generateTrace
import io.skylarkstile.bench.trace.leastLoads
import io.skylarkstile.bench.trace.profiles
import io.skylarkstile.bench.trace.scenarioOrNull
import io.skylarkstile.config.command.usageError
import io.skylarkstile.transport.http.httpClient
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import java.nio.file.Files
import java.nio.file.Path

internal const val CONNECT_TIMEOUT_MS = 1_000L
private const val MS_PER_MINUTE = 60_000.0

/** The site's workspaces allow this many generated tokens for each request of their rate. */
private const val TOKENS_PER_REQUEST = 1_000.0
private val pretty = Json { prettyPrint = true }

@OptIn(ExperimentalCli::class)
internal class RunCommand : Subcommand("run", "Send a trace to a running site; writes summary.json and timeline.json") {
    private val profile by option(ArgType.String, "profile", description = "cairo, perth or small").default("small")
    private val scenario by option(ArgType.String, "scenario", description = "steady, popularity-shift, greedy-workspace").default("steady")
    private val seed by option(ArgType.Int, "seed", description = "Seed of the trace").default(1)
    private val minutes by option(ArgType.Double, "minutes", description = "Length of the trace").default(1.0)
    private val policy by option(ArgType.String, "policy", description = "Name written into the summary").default("ours")
    private val entries by option(
        ArgType.String,
        "entries",
        description = "Caller addresses of entry instances, comma separated",
    ).required()
    private val keys by option(ArgType.String, "keys", description = "workspace=key pairs, comma separated").required()
    private val rate by option(
        ArgType.Double,
        "rate",
        description = "Requests per second and burst in the workspaces' records",
    ).default(1_000.0)
    private val out by option(ArgType.String, "out", description = "Directory of the results").required()

    override fun execute() {
        val sizes = profiles[profile] ?: usageError("there is no profile '$profile'; there are ${profiles.keys}")
        val event = scenarioOrNull(scenario) ?: usageError("there is no scenario '$scenario'")
        val trace = generateTrace(sizes, event, seed.toLong(), (minutes * MS_PER_MINUTE).toLong())
        println("profile $profile, scenario $scenario, seed $seed: ${trace.arrivals.size} requests in ${trace.durationMs / 1_000} s")
        val records =
            httpClient(CONNECT_TIMEOUT_MS).use { client ->
                runBlocking { LoadGenerator(client, entries.split(','), pairs(keys)).run(trace) }
            }
        val limits = QuotaLimits(rate, rate, rate * TOKENS_PER_REQUEST, rate * TOKENS_PER_REQUEST)
        val bound = leastLoads(trace, sizes.engines * sizes.slots)
        val summary = summarize(trace, records, policy, sizes.workspaces.associate { it.name to limits }, bound)
        write(Path.of(out), summary, timelineOf(records))
        println("complete ${summary.complete} of ${summary.requests}, ends ${summary.ends}, codes ${summary.codes}")
        println("first token p50 ${summary.firstToken.p50} ms, p95 ${summary.firstToken.p95} ms; least loads $bound")
    }

    private fun pairs(text: String): Map<String, String> = text.split(',').associate { pair ->
        if ('=' !in pair) usageError("'--keys' holds a part that is not workspace=key")
        pair.substringBefore('=') to pair.substringAfter('=')
    }

    private fun write(
        directory: Path,
        summary: Summary,
        timeline: List<TimelinePoint>,
    ) {
        Files.createDirectories(directory)
        Files.writeString(directory.resolve("summary.json"), pretty.encodeToString(Summary.serializer(), summary))
        Files.writeString(directory.resolve("timeline.json"), pretty.encodeToString(ListSerializer(TimelinePoint.serializer()), timeline))
    }
}
