/*
 * The state that all calls of an instance share: the current configuration, the targets, and the components that make decisions.
 */
package io.skylarkstile.gateway.relay

import io.skylarkstile.gateway.adapter.AdapterPlacement
import io.skylarkstile.gateway.admission.CallAdmission
import io.skylarkstile.gateway.main.GatewayMetrics
import io.skylarkstile.gateway.main.LogLineLimiter
import io.skylarkstile.gateway.main.Scheduler
import io.skylarkstile.gateway.model.AdapterName
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.model.Configuration
import io.skylarkstile.gateway.model.DeploymentLimits
import io.skylarkstile.gateway.retry.RetryAllowance
import io.skylarkstile.gateway.target.TargetSelector
import io.skylarkstile.gateway.target.TargetState
import io.skylarkstile.gateway.target.TargetTable

/** Records which adapters calls wait for or use. */
interface AdapterDemand {
    /** Requests [adapter] on [target], because a call waits for it or is the first to use it there. */
    fun requestAdapter(
        target: TargetState,
        adapter: AdapterVersion,
    )

    /** Records that a call for [adapter] has arrived. */
    fun recordCall(adapter: AdapterVersion)
}

/** Holds the shared state; runs on the event loop. */
internal class RelayContext(
    bounds: DeploymentLimits,
    val scheduler: Scheduler,
    val codec: CallCodec,
    val pool: TargetConnectionPool,
    val targets: TargetTable,
    val selector: TargetSelector,
    val placement: AdapterPlacement,
    val admission: CallAdmission,
    val demand: AdapterDemand,
    val permits: CallPermits,
    val crashGuard: CrashGuard,
    val metrics: GatewayMetrics,
    val bodies: BodyBudget,
    val heads: HeadBudget,
    val random: () -> Double,
) {
    /** Limits the number of log lines about single calls. */
    val callLogLimiter = LogLineLimiter()
    private val allowances = HashMap<String, RetryAllowance>()
    private val waiting = LinkedHashSet<TargetSearch>()
    var bounds: DeploymentLimits = bounds
        set(value) {
            if (value != field) allowances.clear()
            field = value
        }
    var configuration: Configuration? = null
    val adapterVersions = HashMap<AdapterName, Long>()

    /** Number of instances that share the fleet-wide limits, including this one. */
    var instanceCount = 1
    var isLeaving = false

    /** Time at which a shutdown ends all running calls; null while the instance isn't leaving. */
    var callsEndAt: Long? = null

    /** Set late in a shutdown, when a new call could no longer finish in time. */
    var isRefusingCalls = false
    private val running = LinkedHashSet<CallRun>()

    /** Connections with a request that has not arrived completely, in the order in which the requests began. */
    val receiving = LinkedHashSet<CallerConnection>()

    /**
     * Rejects the oldest request that has stalled, to free its memory for [other]; returns false if there is none. A sender that goes on is
     * never rejected for another one.
     */
    fun rejectStalled(other: CallerConnection): Boolean {
        val since = scheduler.now() - STALL_MS
        val stalled = receiving.firstOrNull { it !== other && it.isStalled(since) } ?: return false
        metrics.recordRefusal("stalled")
        stalled.rejectStalled()
        return true
    }

    /** Number of calls that wait for another instance to grant their tokens. */
    var pendingAdmissions = 0
    val runningCalls: Int get() = running.size + pendingAdmissions

    fun allowance(service: String): RetryAllowance =
        allowances.getOrPut(service) { RetryAllowance(bounds.retryRatio, bounds.retrySlack, bounds.retryWindowMs) }

    /** Returns the version of [name] that new calls use. */
    fun currentVersion(name: AdapterName): AdapterVersion = AdapterVersion(name, adapterVersions[name] ?: FIRST_VERSION)

    /** Returns how many connections this instance may open to one target of [service]. */
    fun connectionLimit(service: String): Int {
        val limit = configuration?.services?.get(service)?.maxConnections ?: return Int.MAX_VALUE
        return (limit * USABLE_CONNECTION_SHARE / instanceCount).toInt().coerceAtLeast(2)
    }

    /** Returns the targets of [service] that have [model], or any if it is null, and room for another connection of this instance. */
    fun reachableTargets(
        service: String,
        model: String?,
    ): List<TargetState> {
        val limit = connectionLimit(service)
        return targets.ready(service).filter { pool.hasRoom(it.entry.address, limit) && (model == null || model in it.models) }
    }

    fun begin(run: CallRun) {
        running.add(run)
    }

    fun end(run: CallRun) {
        running.remove(run)
    }

    /** Ends all running calls because this instance stops. */
    fun stopCalls() {
        running.toList().forEach { it.stop() }
    }

    /** Retries the repeatable calls on [target] elsewhere, because it doesn't respond. */
    fun targetUnresponsive(target: TargetState) {
        running.toList().forEach { it.targetUnresponsive(target) }
    }

    fun addWaiting(search: TargetSearch) {
        waiting.add(search)
    }

    fun removeWaiting(search: TargetSearch) {
        waiting.remove(search)
    }

    /** Lets the calls that wait for [target], or for any target, choose again. */
    fun adaptersChanged(target: String) {
        waiting.filter { it.awaitsTarget == null || it.awaitsTarget == target }.forEach { it.recheck() }
    }

    /** Number of calls that wait for an adapter or for any target. */
    val waitingCalls: Int get() = waiting.size

    private companion object {
        const val FIRST_VERSION = 1L

        /** Time without any byte of a request after which it gives way to others when memory is short, in milliseconds. */
        const val STALL_MS = 1_000L

        /** Share of a target's connections that the known instances use together; the rest covers instances that join or leave. */
        const val USABLE_CONNECTION_SHARE = 0.9
    }
}
