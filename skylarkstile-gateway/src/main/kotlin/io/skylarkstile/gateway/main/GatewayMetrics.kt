/*
 * Metrics of one instance. They are updated and read on the event loop.
 */
package io.skylarkstile.gateway.main

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.skylarkstile.gateway.adapter.OrderOutcome
import java.io.ByteArrayOutputStream

/** Provides the values of the gauges, which are read on each scrape. */
interface GatewayGauges {
    val runningCalls: Int
    val waitingCalls: Int
    val instances: Int
    val suspectedTargets: Int
    val limitedTargets: Int
    val blockedParts: Int

    /** Number of targets that count as cold, of data centres under evacuation, and of targets there that still take calls. */
    val coldTargets: Int
    val evacuatedDataCentres: Int
    val departingTargets: Int

    /** Bytes that the bodies of requests take of the memory for them. */
    val bodyBytes: Long

    /** Bytes that the heads of requests take of the memory for them. */
    val headBytes: Long
    val callerConnections: Int

    /** Number of targets that have said that they leave, and of those that have asked for a pause. */
    val leavingTargets: Int
    val pausedTargets: Int

    /** Age in milliseconds of the last confirmation that the configuration is current; null when there is none. */
    val configurationAgeMs: Long?
}

/** Records the metrics of one instance in [registry]. */
class GatewayMetrics(
    private val registry: PrometheusRegistry = PrometheusRegistry(),
) {
    private val calls =
        Counter
            .builder()
            .name("skylarkstile_gateway_calls_total")
            .help("Admitted calls, by outcome.")
            .labelNames("outcome")
            .register(registry)
    private val refusals =
        Counter
            .builder()
            .name("skylarkstile_gateway_refusals_total")
            .help("Calls refused at admission, by reason.")
            .labelNames("reason")
            .register(registry)
    private val orders =
        Counter
            .builder()
            .name("skylarkstile_gateway_orders_total")
            .help("Orders to targets, by outcome.")
            .labelNames("outcome")
            .register(registry)
    private val limitedSends =
        Counter
            .builder()
            .name("skylarkstile_gateway_limited_sends_total")
            .help("Calls sent to targets that had named a limit.")
            .register(registry)
    private val malformedStatements =
        Counter
            .builder()
            .name("skylarkstile_gateway_malformed_statements_total")
            .help("Responses in which a target says something of itself that makes no sense.")
            .register(registry)
    private val evictions =
        Counter
            .builder()
            .name("skylarkstile_gateway_evicted_connections_total")
            .help("Caller connections without a running call that were closed because a new one needed their place.")
            .register(registry)
    private val foreignBytes =
        Counter
            .builder()
            .name("skylarkstile_gateway_foreign_bytes_total")
            .help("Times that a target sent bytes that belong to no call, by whether a call was in flight.")
            .labelNames("in_flight")
            .register(registry)
    private val lostCalls =
        Counter
            .builder()
            .name("skylarkstile_gateway_lost_calls_total")
            .help("Calls whose target closed the connection before the response was complete.")
            .labelNames("started")
            .register(registry)
    private val seconds = latency("skylarkstile_gateway_call_seconds", "Time from the arrival of a call to its end, in seconds.")
    private val sendSeconds =
        latency("skylarkstile_gateway_send_seconds", "Time from the arrival of a call until it was sent to a target, in seconds.")
    private val headSeconds =
        latency("skylarkstile_gateway_head_seconds", "Time from the arrival of a call until the response began, in seconds.")

    private fun latency(
        name: String,
        help: String,
    ): Histogram = Histogram
        .builder()
        .name(name)
        .help(help)
        .classicOnly()
        .register(registry)

    /** Registers [gauges], which are read on each scrape. */
    fun register(gauges: GatewayGauges) {
        gauge("skylarkstile_gateway_running_calls", "Running calls.") { gauges.runningCalls.toDouble() }
        gauge("skylarkstile_gateway_waiting_calls", "Calls waiting for an adapter or a target.") { gauges.waitingCalls.toDouble() }
        gauge("skylarkstile_gateway_instances", "Instances that share the bounds.") { gauges.instances.toDouble() }
        gauge("skylarkstile_gateway_suspected_targets", "Targets that get no calls because they don't respond.") {
            gauges.suspectedTargets.toDouble()
        }
        gauge("skylarkstile_gateway_limited_targets", "Targets that have named a limit of the calls that they accept.") {
            gauges.limitedTargets.toDouble()
        }
        gauge("skylarkstile_gateway_cold_targets", "Targets that count as cold after their start.") { gauges.coldTargets.toDouble() }
        gauge("skylarkstile_gateway_evacuated_data_centres", "Data centres under evacuation.") { gauges.evacuatedDataCentres.toDouble() }
        gauge("skylarkstile_gateway_departing_targets", "Targets in data centres under evacuation that still take calls.") {
            gauges.departingTargets.toDouble()
        }
        gauge("skylarkstile_gateway_leaving_targets", "Targets that have said that they leave.") { gauges.leavingTargets.toDouble() }
        gauge("skylarkstile_gateway_paused_targets", "Targets that want no calls of this instance for a while.") {
            gauges.pausedTargets.toDouble()
        }
        gauge("skylarkstile_gateway_blocked_parts", "Shared prompt parts whose calls are refused because targets crashed under them.") {
            gauges.blockedParts.toDouble()
        }
        gauge("skylarkstile_gateway_body_bytes", "Bytes held or reserved for the bodies of requests.") { gauges.bodyBytes.toDouble() }
        gauge("skylarkstile_gateway_head_bytes", "Bytes held for the heads of requests.") { gauges.headBytes.toDouble() }
        gauge("skylarkstile_gateway_caller_connections", "Open connections of callers.") { gauges.callerConnections.toDouble() }
        gauge("skylarkstile_gateway_configuration_age_seconds", "Time since the configuration was last confirmed; -1 if never.") {
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

    fun recordRefusal(reason: String) = refusals.labelValues(reason).inc()

    fun recordOrder(outcome: OrderOutcome) = orders.labelValues("$outcome").inc()

    /** Records a call sent to a target that had named a limit. */
    fun recordLimitedSend() = limitedSends.inc()

    /** Records a response with a malformed statement of its target. */
    fun recordMalformedStatement() = malformedStatements.inc()

    /** Records a caller connection that was closed for another one. */
    fun recordEviction() = evictions.inc()

    /** Records bytes of a target that belong to no call. */
    fun recordForeignBytes(isInFlight: Boolean) = foreignBytes.labelValues("$isInFlight").inc()

    /** Records a call whose target closed the connection; [hasStarted] is true if the response had started. */
    fun recordLostCall(hasStarted: Boolean) = lostCalls.labelValues("$hasStarted").inc()

    /** Records a call that ended with [outcome]. Times are in milliseconds since its arrival, or null for steps that were not reached. */
    fun recordCallEnd(
        outcome: String,
        sentMs: Long?,
        headMs: Long?,
        ms: Long,
    ) {
        // The part after a colon names the individual cause; as a label value it would have unbounded cardinality.
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
