/*
 * Assembles the components of an entry instance that own engine targets and run model requests.
 */
package io.skylarkstile.entry.target

import io.skylarkstile.core.cluster.ClusterView
import io.skylarkstile.core.cluster.ResourceHolder
import io.skylarkstile.core.load.LoadLimits
import io.skylarkstile.core.placement.routingPolicy
import io.skylarkstile.core.retry.RetryBudget
import io.skylarkstile.core.snapshot.SnapshotSource
import io.skylarkstile.schema.generated.LoadSettings
import io.skylarkstile.schema.generated.TargetSettings
import io.skylarkstile.transport.http.HttpClient
import io.skylarkstile.transport.peer.PeerNetwork
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable

/** Settings of the target part; [sendMarginMs] is the minimum remaining lease, in milliseconds, for sending requests and orders. */
data class TargetPartSettings(
    val target: TargetSettings,
    val load: LoadSettings,
    val sendMarginMs: Long,
)

/** Reports the complete state of the target part. */
@Serializable
data class TargetPartDump(
    val owned: List<OwnedTargetDump>,
    val router: List<RouterDump>,
    val loadBudget: LoadBudgetDump,
    val retriesLeft: Map<String, Double>,
    val policy: String,
    val stalls: LoadStallsDump,
)

/** Runs model requests and owns engine targets. Register [owner] and [loadBudget] as resource holders of the cluster membership. */
class TargetPart internal constructor(
    val owner: TargetOwner,
    val loadBudget: ResourceHolder,
    val router: Router,
    internal val dispatcher: ModelDispatcher,
    private val dumper: () -> TargetPartDump,
) {
    fun dump(): TargetPartDump = dumper()
}

/** Creates the target part and starts its background tasks in [scope]. [now] returns monotonic milliseconds. */
fun targetPart(
    cluster: ClusterView,
    snapshots: SnapshotSource,
    network: PeerNetwork,
    http: HttpClient,
    settings: TargetPartSettings,
    scope: CoroutineScope,
    now: () -> Long,
): TargetPart {
    val load = settings.load
    val limits = LoadLimits(load.loadsPerSecond, load.loadsAtOnce, load.adaptersInFlight, settings.target.loadTimeoutMs.toLong())
    val loadBudget = LoadBudget(cluster, network, limits, now)
    val policy = routingPolicy(settings.target.policy)
    val router = StateRouter(cluster, snapshots, network, policy, now)
    val broadcast = StateBroadcast(cluster, network, router::accept, now)
    val env = TargetEnv(cluster, http, loadBudget, settings.target, settings.sendMarginMs, scope, now)
    val owner = targetOwner(snapshots, env, broadcast::changed)
    val retryBudget = RetryBudget()
    val dispatcher = RetryingDispatcher(cluster.self, router, owner, network, retryBudget, now)
    scope.launch { broadcast.run(owner) }
    return TargetPart(owner, loadBudget, router, dispatcher) {
        TargetPartDump(owner.dump(), router.dump(now()), loadBudget.dump(), retryBudget.dump(), policy.name, env.stalls.dump())
    }
}
