/*
 * Commands `bench compare` and `bench plot`, which read the results of earlier runs, and `bench overhead`, which measures the latency that
 * an entry instance adds to a call.
 */
package io.skylarkstile.bench.main

import io.skylarkstile.bench.load.OverheadMeter
import io.skylarkstile.bench.report.Summary
import io.skylarkstile.bench.report.TimelinePoint
import io.skylarkstile.bench.report.compareRuns
import io.skylarkstile.bench.report.haveSameTrace
import io.skylarkstile.bench.report.writePlots
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

private fun readSummary(directory: String): Summary {
    val file = Path.of(directory, "summary.json")
    if (!Files.exists(file)) usageError("file $file does not exist")
    return Json.decodeFromString(Summary.serializer(), Files.readString(file))
}

@OptIn(ExperimentalCli::class)
internal class CompareCommand : Subcommand("compare", "Print the ratios of two runs of the same trace") {
    private val first by argument(ArgType.String, description = "Directory of the first run")
    private val second by argument(ArgType.String, description = "Directory of the second run")

    override fun execute() {
        val a = readSummary(first)
        val b = readSummary(second)
        if (!haveSameTrace(a, b)) usageError("the runs differ in profile, scenario, seed or length")
        compareRuns(a, b).forEach { line ->
            println(
                "%-28s %12.3f %12.3f %8s".format(
                    line.measure,
                    line.first,
                    line.second,
                    line.ratioOrNull?.let { "%.3f".format(it) } ?: "-",
                ),
            )
        }
    }
}

@OptIn(ExperimentalCli::class)
internal class PlotCommand : Subcommand("plot", "Write answers.png and first-token.png of a run") {
    private val directory by argument(ArgType.String, description = "Directory of the run")

    override fun execute() {
        val summary = readSummary(directory)
        val points =
            Json.decodeFromString(
                ListSerializer(TimelinePoint.serializer()),
                Files.readString(Path.of(directory, "timeline.json")),
            )
        writePlots(points, "${summary.profile} ${summary.scenario} ${summary.policy}", Path.of(directory))
    }
}

@OptIn(ExperimentalCli::class)
internal class OverheadCommand : Subcommand("overhead", "Compare calls through an entry instance with direct calls to an engine") {
    private val entry by option(ArgType.String, "entry", description = "Caller address of an entry instance").required()
    private val engine by option(ArgType.String, "engine", description = "Address of the engine that serves the model").required()
    private val key by option(ArgType.String, "key", description = "API key of the caller").required()
    private val model by option(ArgType.String, "model", description = "Name of the adapter").required()
    private val rounds by option(ArgType.Int, "rounds", description = "Number of calls on each path").default(500)
    private val tokens by option(ArgType.Int, "tokens", description = "max_tokens of a call").default(1)

    override fun execute() {
        val result =
            httpClient(CONNECT_TIMEOUT_MS).use { client ->
                runBlocking { OverheadMeter(client, tokens).measure(entry, engine, key, model, rounds) }
            }
        println("direct  p50 ${result.direct.p50} ms, p99 ${result.direct.p99} ms")
        println("through p50 ${result.through.p50} ms, p99 ${result.through.p99} ms")
        println("ratio   p50 %.3f, p99 %.3f".format(result.through.p50 / result.direct.p50, result.through.p99 / result.direct.p99))
    }
}
