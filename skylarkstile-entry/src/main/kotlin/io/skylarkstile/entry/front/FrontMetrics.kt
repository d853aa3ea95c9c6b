/*
 * Registers and updates the metrics of callers' requests.
 */
package io.skylarkstile.entry.front

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry

internal class FrontMetrics(
    registry: PrometheusRegistry,
) {
    private val requests =
        Counter
            .builder()
            .name("skylarkstile_requests_total")
            .help("Requests by workspace and outcome.")
            .labelNames("workspace", "outcome")
            .register(registry)
    private val refusals =
        Counter
            .builder()
            .name("skylarkstile_refusals_total")
            .help("Requests refused at admission by workspace and reason.")
            .labelNames("workspace", "reason")
            .register(registry)
    private val tokens =
        Counter
            .builder()
            .name("skylarkstile_generated_tokens_total")
            .help("Generated tokens by workspace.")
            .labelNames("workspace")
            .register(registry)
    private val durations =
        Histogram
            .builder()
            .name("skylarkstile_request_seconds")
            .help("Time from admission to the end of the response in seconds.")
            .classicOnly()
            .register(registry)

    fun countRefusal(
        workspace: String,
        reason: String,
    ) = refusals.labelValues(workspace, reason).inc()

    fun recordFinished(
        workspace: String,
        outcome: String,
        durationMs: Long,
        generatedTokens: Int,
    ) {
        requests.labelValues(workspace, outcome).inc()
        tokens.labelValues(workspace).inc(generatedTokens.toDouble())
        durations.observe(durationMs / MS_PER_SECOND)
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}
