/*
 * What an owned target needs from its surroundings.
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
    /** Returns whether this instance may send work and orders under [resource] at [epoch]. */
    fun maySend(
        resource: Resource,
        epoch: Long,
    ): Boolean {
        val at = now()
        return cluster.ownership(resource, at) == Ownership.Held(epoch) && cluster.leaseRemaining(at) >= sendMarginMs
    }
}

/** What operators and the platform say of a target. [accepting] is false while it drains or leaves. */
internal data class TargetFacts(
    val record: TargetRecord,
    val accepting: Boolean,
)

/** Tells how a waiting request goes on. */
internal sealed interface Decision {
    /** The adapter is pinned under [handle]; [boot] counts the engine's restarts. */
    data class Start(
        val handle: String,
        val boot: Int,
    ) : Decision

    data class Refuse(
        val end: DispatchEnd,
    ) : Decision
}

/** One request at its target's owner. */
internal class Work(
    val request: Dispatch,
    val arrivedAt: Long,
) {
    val model = "${request.adapter}@${request.version}"
    val decision = CompletableDeferred<Decision>()

    /** Is completed with a reason when the running request must be given up. */
    val aborted = CompletableDeferred<String>()

    /** Whether the adapter was not loaded when the request arrived. */
    var waitsForLoad = false

    /** Is set when the request starts. */
    var startOrNull: Decision.Start? = null
        private set
    var startedAt = 0L
        private set

    fun start(
        start: Decision.Start,
        now: Long,
    ) {
        startOrNull = start
        startedAt = now
        decision.complete(start)
    }

    fun refuse(end: DispatchEnd) {
        decision.complete(Decision.Refuse(end))
    }
}
