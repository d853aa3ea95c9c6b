/*
 * Dependencies and settings of an owned target, and the types that it exchanges with its requests.
 */
package io.skylarkstile.entry.target

import io.skylarkstile.core.cluster.ClusterView
import io.skylarkstile.core.cluster.Ownership
import io.skylarkstile.core.cluster.Resource
import io.skylarkstile.schema.generated.Dispatch
import io.skylarkstile.schema.generated.DispatchEnd
import io.skylarkstile.schema.generated.TargetRecord
import io.skylarkstile.schema.generated.TargetSettings
import io.skylarkstile.transport.http.HttpClient
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope

/** Holds the services and settings that all targets of this instance share. [now] gives monotonic milliseconds. */
internal class TargetEnv(
    val cluster: ClusterView,
    val http: HttpClient,
    val permits: LoadPermits,
    val settings: TargetSettings,
    val sendMarginMs: Long,
    val scope: CoroutineScope,
    val now: () -> Long,
    val stalls: LoadStalls = LoadStalls(),
) {
    /** Returns whether this instance may send requests and orders to the target of [resource], which it acquired at [epoch]. */
    fun maySend(
        resource: Resource,
        epoch: Long,
    ): Boolean {
        val at = now()
        return cluster.ownership(resource, at) == Ownership.Held(epoch) && cluster.leaseRemaining(at) >= sendMarginMs
    }
}

/** Configuration of a target from the current snapshot. [accepting] is false while the target drains or leaves. */
internal data class TargetConfig(
    val record: TargetRecord,
    val accepting: Boolean,
)

/** Decides whether a queued request starts or is refused. */
internal sealed interface SchedulingDecision {
    /** Starts the request on [handle], which is pinned; [restartCount] is the number of engine restarts observed so far. */
    data class Start(
        val handle: String,
        val restartCount: Int,
    ) : SchedulingDecision

    /** Ends the request with [end] without running it. */
    data class Refuse(
        val end: DispatchEnd,
    ) : SchedulingDecision
}

/** Tracks one request at the owner of its target. */
internal class RequestTask(
    val request: Dispatch,
    val arrivedAt: Long,
) {
    val model = "${request.adapter}@${request.version}"
    val decision = CompletableDeferred<SchedulingDecision>()

    /** Completes with a reason when the running request must be aborted. */
    val abortReason = CompletableDeferred<String>()

    /** Whether the adapter was not loaded when the request arrived. */
    var waitsForLoad = false

    /** Set when the request starts. */
    var startOrNull: SchedulingDecision.Start? = null
        private set
    var startedAt = 0L
        private set

    fun start(
        start: SchedulingDecision.Start,
        now: Long,
    ) {
        startOrNull = start
        startedAt = now
        decision.complete(start)
    }

    fun refuse(end: DispatchEnd) {
        decision.complete(SchedulingDecision.Refuse(end))
    }
}
