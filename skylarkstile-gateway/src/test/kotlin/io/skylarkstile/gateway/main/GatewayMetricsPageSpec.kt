/*
 * Compares the table of the gateway's metrics in docs/operating/metrics-and-events.md with the code. Guards against metrics that are
 * missing from the documentation.
 */
package io.skylarkstile.gateway.main

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.CounterSnapshot
import io.prometheus.metrics.model.snapshots.GaugeSnapshot
import io.prometheus.metrics.model.snapshots.MetricSnapshot
import io.skylarkstile.gateway.adapter.OrderOutcome
import java.io.File

private object NoGauges : GatewayGauges {
    override val runningCalls = 0
    override val waitingCalls = 0
    override val instances = 1
    override val suspectedTargets = 0
    override val limitedTargets = 0
    override val blockedParts = 0
    override val coldTargets = 0
    override val evacuatedDataCentres = 0
    override val departingTargets = 0
    override val bodyBytes = 0L
    override val headBytes = 0L
    override val callerConnections = 0
    override val leavingTargets = 0
    override val pausedTargets = 0
    override val configurationAgeMs: Long? = null
}

private fun MetricSnapshot.row(): String {
    val labels =
        dataPoints
            .first()
            .labels
            .map { it.name }
            .sorted()
            .joinToString()
            .ifEmpty { "-" }
    return when (this) {
        is CounterSnapshot -> "${metadata.prometheusName.removeSuffix("_total")}_total counter $labels"
        is GaugeSnapshot -> "${metadata.prometheusName} gauge $labels"
        else -> "${metadata.prometheusName} histogram $labels"
    }
}

class GatewayMetricsPageSpec :
    FunSpec({
        test("the page lists every metric of the gateway with its type and labels, and no other") {
            val registry = PrometheusRegistry()
            GatewayMetrics(registry).apply {
                register(NoGauges)
                recordRefusal("over-rate")
                recordOrder(OrderOutcome.Done)
                recordLostCall(true)
                recordForeignBytes(true)
                recordCallEnd("served", 1, 2, 3)
            }
            val rows =
                File("../docs/operating/metrics-and-events.md")
                    .readLines()
                    .dropWhile { it != "## Metrics of the gateway" }
                    .drop(1)
                    .takeWhile { !it.startsWith("## ") }
                    .filter { it.startsWith("| `") }
                    .map { row ->
                        row
                            .trim('|')
                            .split('|')
                            .take(3)
                            .joinToString(" ") { it.replace("`", "").trim() }
                    }
            rows shouldContainExactlyInAnyOrder registry.scrape().map { it.row() }
        }
    })
