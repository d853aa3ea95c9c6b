/*
 * Metrics of one instance. They are counted on the event loop and read there too.
 */
package io.skylarkstile.gateway.main

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.skylarkstile.gateway.adapter.OrderOutcome
import java.io.ByteArrayOutputStream

/** Gives the values that are read when the metrics are. */
interface GatewayGauges {
    val runningCalls: Int
    val waitingCalls: Int
    val instances: Int
    val suspectedTargets: Int

    /** Age in milliseconds of the last confirmation that the configuration is current; null when there is none. */
    val configurationAgeMs: Long?
}

/** Counts what one instance does in [registry]. */
class GatewayMetrics(
    private val registry: PrometheusRegistry = PrometheusRegistry(),
) {
    private val calls =
        Counter
            .builder()
            .name("skylarkstile_gateway_calls_total")
            .help("Admitted calls by how they ended.")
            .labelNames("outcome")
            .register(registry)
    private val refusals =
        Counter
            .builder()
            .name("skylarkstile_gateway_refusals_total")
            .help("Calls refused at admission by reason.")
            .labelNames("reason")
            .register(registry)
    private val orders =
        Counter
            .builder()
            .name("skylarkstile_gateway_orders_total")
            .help("Orders to targets by outcome.")
            .labelNames("outcome")
            .register(registry)
    private val seconds = latency("skylarkstile_gateway_call_seconds", "Time from the arrival of a call to its end in seconds.")
    private val sendSeconds =
        latency("skylarkstile_gateway_send_seconds", "Time from the arrival of a call until it was sent to a target in seconds.")
    private val headSeconds =
        latency("skylarkstile_gateway_head_seconds", "Time from the arrival of a call until its answer began in seconds.")

    private fun latency(
        name: String,
        help: String,
    ): Histogram = Histogram
        .builder()
        .name(name)
        .help(help)
        .classicOnly()
        .register(registry)

    /** Reads [gauges] whenever the metrics are read. */
    fun register(gauges: GatewayGauges) {
        gauge("skylarkstile_gateway_running_calls", "Calls that run now.") { gauges.runningCalls.toDouble() }
        gauge("skylarkstile_gateway_waiting_calls", "Calls that wait for an adapter or a target.") { gauges.waitingCalls.toDouble() }
        gauge("skylarkstile_gateway_instances", "Instances that share the bounds.") { gauges.instances.toDouble() }
        gauge("skylarkstile_gateway_suspected_targets", "Targets that get no calls because nothing is heard from them.") {
            gauges.suspectedTargets.toDouble()
        }
        gauge("skylarkstile_gateway_configuration_age_seconds", "Time since the configuration was known to be current; -1 when never.") {
            gauges.configurationAgeMs?.let { it / MS_PER_S } ?: -1.0
        }
    }

    private fun gauge(
        name: String,
        help: String,
        read: () -> Double,
    ) {
        GaugeWithCallback
            .builder()
            .name(name)
            .help(help)
            .callback { it.call(read()) }
            .register(registry)
    }

    fun refused(reason: String) = refusals.labelValues(reason).inc()

    fun ordered(outcome: OrderOutcome) = orders.labelValues("$outcome").inc()

    /** Counts a call that ended with [outcome]; times are in milliseconds since its arrival, null for what did not happen. */
    fun ended(
        outcome: String,
        sentMs: Long?,
        headMs: Long?,
        ms: Long,
    ) {
        // What stands behind a colon names single causes; as a label it would have no bound.
        calls.labelValues(outcome.substringBefore(':')).inc()
        seconds.observe(ms / MS_PER_S)
        sentMs?.let { sendSeconds.observe(it / MS_PER_S) }
        headMs?.let { headSeconds.observe(it / MS_PER_S) }
    }

    /** Returns all metrics in the Prometheus text form. */
    fun text(): String {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(out, registry.scrape())
        return out.toString(Charsets.UTF_8)
    }

    private companion object {
        const val MS_PER_S = 1_000.0
    }
}
