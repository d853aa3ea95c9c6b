/*
 * The shares of all workspaces that have a rate.
 */
package io.skylarkstile.gateway.admission

import io.skylarkstile.gateway.model.Configuration
import io.skylarkstile.gateway.model.Workspace

/** Holds a [WorkspaceShare] for each workspace with a rate. Not thread-safe. */
class WorkspaceShares(
    private var tolerance: QuotaTolerance,
) {
    private val shares = HashMap<String, WorkspaceShare>()
    private val toldAdmitted = HashMap<Pair<String, String>, Long>()

    /** Applies a changed [tolerance]. */
    fun tolerate(tolerance: QuotaTolerance) {
        this.tolerance = tolerance
        shares.values.forEach { it.tolerance = tolerance }
    }

    /** Applies the rates of [configuration]. */
    fun configure(
        now: Long,
        configuration: Configuration,
        instances: Int,
    ) {
        val rated = configuration.workspaces.filter { it.rate != null }.associateBy { it.name }
        shares.keys.retainAll(rated.keys)
        rated.values.forEach { workspace ->
            val rate = checkNotNull(workspace.rate)
            val share = shares.getOrPut(workspace.name) { WorkspaceShare(rate, now, instances, tolerance) }
            if (share.rate != rate) share.change(now, rate)
        }
    }

    /** Returns the share of [workspace], or null when it has no rate. */
    fun shareOrNull(workspace: Workspace): WorkspaceShare? = shares[workspace.name]

    /** Takes [tokens] of the whole fleet's bucket of [workspace]; returns null where this instance doesn't know it. */
    fun grantOrNull(
        workspace: String,
        tokens: Int,
        now: Long,
    ): TokenAnswer? {
        val share = shares[workspace] ?: return null
        return share.grant(now, tokens)?.let(TokenAnswer::Refused) ?: TokenAnswer.Granted
    }

    /** Returns what this instance tells the others, by workspace. */
    fun demands(now: Long): Map<String, ShareDemand> = shares.mapValues { (_, share) -> ShareDemand(share.demand(now), share.admitted) }

    /** Takes note of what the process [peer] has admitted in all, by workspace. */
    fun told(
        now: Long,
        peer: String,
        demands: Map<String, ShareDemand>,
    ) {
        demands.forEach { (workspace, demand) ->
            val before = toldAdmitted.put(peer to workspace, demand.admitted)
            if (before != null) shares[workspace]?.admittedElsewhere(now, demand.admitted - before)
        }
    }

    /** Splits all rates again; [elsewhere] holds what the other instances of [fleet] are asked for, by workspace. */
    fun split(
        now: Long,
        elsewhere: Map<String, Double>,
        fleet: FleetKnowledge,
    ) {
        shares.forEach { (name, share) -> share.split(now, elsewhere[name] ?: 0.0, fleet) }
    }
}
