/*
 * Registers gauges for the state of the instance, which are read on each scrape. Alert rules use them.
 */
package io.skylarkstile.entry.admin

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.skylarkstile.entry.cluster.ClusterDump

/** Provides the state that [registerInstanceMetrics] exports. Times in [cluster] are in milliseconds. */
internal class InstanceState(
    val isReady: () -> Boolean,
    val runningCalls: () -> Int,
    val snapshotRevision: () -> Long,
    val cluster: () -> ClusterDump,
)

internal fun registerInstanceMetrics(
    registry: PrometheusRegistry,
    state: InstanceState,
) {
    fun gauge(
        name: String,
        help: String,
        value: () -> Number,
    ) {
        GaugeWithCallback
            .builder()
            .name("skylarkstile_$name")
            .help(help)
            .callback { it.call(value().toDouble()) }
            .register(registry)
    }
    gauge("ready", "1 while the instance is ready, else 0.") { if (state.isReady()) 1 else 0 }
    gauge("running_calls", "Calls that are running now.") { state.runningCalls() }
    gauge("snapshot_revision", "Revision of the configuration in force.") { state.snapshotRevision() }
    gauge("lease_remaining_seconds", "Time until the lease expires unless it is confirmed again.") {
        state.cluster().leaseRemainingMs / MS_PER_SECOND
    }
    gauge("platform_reachable", "1 while calls to the object API succeed, else 0.") { if (state.cluster().platformReachable) 1 else 0 }
    gauge("roster_members", "Members in the newest roster that this instance knows.") {
        state
            .cluster()
            .roster.members.size
    }
    gauge("owned_resources", "Targets, ledger ranges and load budgets that this instance owns.") { state.cluster().owned.size }
}

private const val MS_PER_SECOND = 1_000.0
