/*
 * Compares docs/operating/metrics-and-events.md with the code. Guards against undocumented metrics and log events, and against rows for
 * ones that no longer exist.
 */
package io.skylarkstile.entry.admin

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.CounterSnapshot
import io.prometheus.metrics.model.snapshots.GaugeSnapshot
import io.prometheus.metrics.model.snapshots.MetricSnapshot
import io.skylarkstile.entry.cluster.ClusterDump
import io.skylarkstile.entry.front.FrontMetrics
import io.skylarkstile.schema.generated.Member
import io.skylarkstile.schema.generated.Roster
import java.io.File

private val page = File("../docs/operating/metrics-and-events.md").readLines()

/** Returns the first [columns] cells of each row of the table under [heading], without backticks. */
private fun rows(
    heading: String,
    columns: Int,
): List<List<String>> = page
    .dropWhile { it != heading }
    .drop(1)
    .takeWhile { !it.startsWith("## ") }
    .filter { it.startsWith("| `") }
    .map { row ->
        val cells = row.trim('|').split('|').map { it.replace("`", "").trim() }
        withClue(row) { cells.filter(String::isEmpty).shouldBeEmpty() }
        cells.take(columns)
    }

private val sources =
    File("..")
        .listFiles { file -> file.name.startsWith("skylarkstile-") }
        .orEmpty()
        .flatMap { module -> File(module, "src/main/kotlin").walk().filter { it.extension == "kt" } }
        .associate { it.path to it.readText() }

private val eventCall = Regex("""log\.event\(\s*Level\.([A-Z]+),\s*"([a-z-]+)"([^{]*?)\) *\{""")
private val field = Regex(""""(\w+)" to """)

private fun MetricSnapshot.row(): List<String> {
    val (name, type) =
        when (this) {
            is CounterSnapshot -> metadata.prometheusName.removeSuffix("_total") + "_total" to "counter"
            is GaugeSnapshot -> metadata.prometheusName to "gauge"
            else -> metadata.prometheusName to "histogram"
        }
    val labels =
        dataPoints
            .first()
            .labels
            .map { it.name }
            .sorted()
    return listOf(name, type, labels.joinToString().ifEmpty { "-" })
}

class MetricsAndEventsPageSpec :
    FunSpec({
        test("the page lists every metric with its type and labels, and no other") {
            val registry = PrometheusRegistry()
            FrontMetrics(registry).apply {
                countRefusal("w", "r")
                recordFinished("w", "done", 1, 1)
            }
            val self = Member("i", 1, "a", "a", "d", Member.State.Active)
            val dump = ClusterDump(self, Roster(1, emptyList()), true, 1, 1, true, emptyMap(), emptyList(), emptyList(), emptyList())
            registerInstanceMetrics(registry, InstanceState({ true }, { 1 }, { 1 }, { dump }))
            rows("## Metrics", 3) shouldContainExactlyInAnyOrder registry.scrape().map { it.row() }
            sources.filterValues { "metrics.core.metrics" in it }.keys.map { File(it).name } shouldContainExactlyInAnyOrder
                listOf("FrontMetrics.kt", "InstanceMetrics.kt", "GatewayMetrics.kt")
        }

        test("alert rules use metrics of the page, and each alert is explained") {
            val alerts = File("../docs/operating/alerts.md").readText()
            val known = rows("## Metrics", 1).flatten()
            val used = Regex("""skylarkstile_\w+""").findAll(alerts).map { it.value.removeSuffix("_bucket") }.toSet()
            (used - known.toSet()).shouldBeEmpty()
            Regex("""alert: (\w+)""").findAll(alerts).map { it.groupValues[1] }.toList() shouldContainExactlyInAnyOrder
                Regex("""\n\| `(\w+)` \|""").findAll(alerts).map { it.groupValues[1] }.toList()
        }

        test("the page lists every log event with its level and fields, and no other") {
            val events =
                sources.values.flatMap { text ->
                    eventCall.findAll(text).map { call ->
                        val (level, name, rest) = call.destructured
                        listOf(name, level, field.findAll(rest).joinToString { it.groupValues[1] }.ifEmpty { "-" })
                    }
                }
            rows("## Log events", 3) shouldContainExactlyInAnyOrder events.distinct()
            // Every call must match the pattern, and no log line may lack an event name.
            sources.values.sumOf { Regex("""\blog\.event\(""").findAll(it).count() } shouldBe events.size
            sources.filterValues { Regex("""\blog\.(trace|debug|info|warn|error|at)\b""").containsMatchIn(it) }.keys.shouldBeEmpty()
        }
    })
