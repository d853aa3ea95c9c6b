/*
 * Maintains one rate share per workspace that has a token rate.
 */
package io.skylarkstile.gateway.admission

import io.skylarkstile.gateway.model.Configuration
import io.skylarkstile.gateway.model.Workspace

/** Holds a [WorkspaceShare] for each workspace with a rate. Not thread-safe. */
class WorkspaceShares(
    private var tolerance: QuotaTolerance,
) {
    private val shares = HashMap<String, WorkspaceShare>()
    private val reportedAdmitted = HashMap<Pair<String, String>, Long>()

    /** Applies a changed [tolerance] to all shares. */
    fun updateTolerance(tolerance: QuotaTolerance) {
        this.tolerance = tolerance
        shares.values.forEach { it.tolerance = tolerance }
    }

    /** Applies the rates of [configuration] at [now]; new shares start as one of [instances] equal ones. */
    fun configure(
        now: Long,
        configuration: Configuration,
        instances: Int,
    ) {
        val rated =
            configuration.workspaces
                .orEmpty()
                .filter { it.rate != null }
                .associateBy { it.name }
        shares.keys.retainAll(rated.keys)
        rated.values.forEach { workspace ->
            val rate = checkNotNull(workspace.rate)
            val share = shares.getOrPut(workspace.name) { WorkspaceShare(rate, now, instances, tolerance) }
            if (share.rate != rate) share.changeRate(now, rate)
        }
    }

    /** Returns the share of [workspace], or null if it has no rate. */
    fun shareOrNull(workspace: Workspace): WorkspaceShare? = shares[workspace.name]

    /** Takes [tokens] from the fleet-wide bucket of [workspace]. Returns null if this instance has no share of it. */
    fun grantOrNull(
        workspace: String,
        tokens: Int,
        now: Long,
    ): TokenAnswer? {
        val share = shares[workspace] ?: return null
        return share.grant(now, tokens)?.let(TokenAnswer::Refused) ?: TokenAnswer.Granted
    }

    /** Returns the demand by workspace that this instance reports to the others. */
    fun demands(now: Long): Map<String, ShareDemand> = shares.mapValues { (_, share) -> ShareDemand(share.demand(now), share.admitted) }

    /** Applies the [demands] by workspace that the process [peer] reports; its admitted tokens are running totals. */
    fun applyPeerDemands(
        now: Long,
        peer: String,
        demands: Map<String, ShareDemand>,
    ) {
        demands.forEach { (workspace, demand) ->
            val previous = reportedAdmitted.put(peer to workspace, demand.admitted)
            if (previous != null) shares[workspace]?.deductFromFleet(now, demand.admitted - previous)
        }
    }

    /** Splits all rates again; [elsewhere] holds the demand on the other instances of [fleet] in tokens per second, by workspace. */
    fun rebalance(
        now: Long,
        elsewhere: Map<String, Double>,
        fleet: FleetStatus,
    ) {
        shares.forEach { (name, share) -> share.rebalance(now, elsewhere[name] ?: 0.0, fleet) }
    }
}
