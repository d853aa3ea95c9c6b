/*
 * What the calls of one instance share: the configuration in force, the targets, and the deciding parts.
 */
package io.skylarkstile.gateway.relay

import io.skylarkstile.gateway.adapter.AdapterPlacement
import io.skylarkstile.gateway.admission.CallAdmission
import io.skylarkstile.gateway.main.GatewayMetrics
import io.skylarkstile.gateway.main.LineBudget
import io.skylarkstile.gateway.main.Scheduler
import io.skylarkstile.gateway.model.AdapterName
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.model.Bounds
import io.skylarkstile.gateway.model.Configuration
import io.skylarkstile.gateway.retry.RetryAllowance
import io.skylarkstile.gateway.target.TargetChoice
import io.skylarkstile.gateway.target.TargetState
import io.skylarkstile.gateway.target.TargetTable

/** Takes note of adapters that calls wait for or use. */
interface AdapterDemand {
    /** A call waits for [adapter] on [target], or is sent there first to use it. */
    fun wish(
        target: TargetState,
        adapter: AdapterVersion,
    )

    /** A call for [adapter] has arrived. */
    fun asked(adapter: AdapterVersion)
}

/** Holds the shared parts; runs on the event loop. */
internal class Serving(
    bounds: Bounds,
    val scheduler: Scheduler,
    val codec: CallCodec,
    val pool: TargetPool,
    val targets: TargetTable,
    val choice: TargetChoice,
    val placement: AdapterPlacement,
    val admission: CallAdmission,
    val demand: AdapterDemand,
    val random: () -> Double,
) {
    /** Bounds the log lines about single calls. */
    val lines = LineBudget()
    val metrics = GatewayMetrics()
    private val allowances = HashMap<String, RetryAllowance>()
    private val waiting = LinkedHashSet<CallRun>()
    var bounds: Bounds = bounds
        set(value) {
            if (value != field) allowances.clear()
            field = value
        }
    var configuration: Configuration? = null
    val versions = HashMap<AdapterName, Long>()

    /** Instances that share the fleet-wide bounds, this one included. */
    var instances = 1
    var isLeaving = false

    /** Set late in a stop, when a new call could no longer be finished. */
    var refusesCalls = false
    private val running = LinkedHashSet<CallRun>()

    /** Calls that wait for another instance to grant their tokens. */
    var undecidedCalls = 0
    val runningCalls: Int get() = running.size + undecidedCalls

    fun allowance(service: String): RetryAllowance =
        allowances.getOrPut(service) { RetryAllowance(bounds.retryRatio, bounds.retrySlack, bounds.retryWindowMs) }

    /** Returns the version of [name] that calls run on now. */
    fun current(name: AdapterName): AdapterVersion = AdapterVersion(name, versions[name] ?: FIRST_VERSION)

    /** Returns how many connections this instance may open to one target of [service]. */
    fun connectionLimit(service: String): Int {
        val limit = configuration?.services?.get(service)?.maxConnections ?: return Int.MAX_VALUE
        return (limit * CONNECTION_SHARE / instances).toInt().coerceAtLeast(2)
    }

    fun begin(run: CallRun) {
        running.add(run)
    }

    fun end(run: CallRun) {
        running.remove(run)
    }

    /** Ends all calls because this instance stops. */
    fun stopCalls() {
        running.toList().forEach { it.stop() }
    }

    /** Moves the calls that may be repeated away from a target that doesn't answer. */
    fun targetDead(target: TargetState) {
        running.toList().forEach { it.targetDead(target) }
    }

    fun await(run: CallRun) {
        waiting.add(run)
    }

    fun stopAwaiting(run: CallRun) {
        waiting.remove(run)
    }

    /** Lets the calls that wait for an adapter on [target] look again. */
    fun adaptersChanged(target: String) {
        waiting.filter { it.awaitsTarget == null || it.awaitsTarget == target }.forEach { it.lookAgain() }
    }

    /** Returns the number of calls that wait for an adapter. */
    val waitingCalls: Int get() = waiting.size

    private companion object {
        const val FIRST_VERSION = 1L

        /** Part of a target's connections that the instances use together; the rest covers instances that come and go. */
        const val CONNECTION_SHARE = 0.9
    }
}
