/*
 * Whether a call may run at all: its route, its key and its workspace's rate. Refusals say when a return is worth while.
 */
package io.skylarkstile.gateway.admission

import io.skylarkstile.gateway.model.CallHead
import io.skylarkstile.gateway.model.Configuration
import io.skylarkstile.gateway.model.Route
import io.skylarkstile.gateway.model.Workspace

/** Callers return after this time where an instance doesn't know enough to serve, in milliseconds. */
const val UNREADY_RETRY_MS = 500L

/** Outcome of an admission. */
sealed interface Admission {
    /** The call may run; [cost] tokens were taken from the share of [workspace]. */
    data class Admitted(
        val route: Route,
        val workspace: Workspace?,
        val cost: Int,
    ) : Admission

    /** The call has not run. [retryAfterMs] is null where coming back doesn't help. */
    data class Refused(
        val status: Int,
        val reason: String,
        val retryAfterMs: Long?,
        val workspace: String? = null,
    ) : Admission
}

/** Admits calls by the configuration in force. */
class CallAdmission(
    private val shares: WorkspaceShares,
    private val keyFreshness: Freshness,
    /** Notices that this process stood still: calls that waited meanwhile are read before any timer fires. */
    private val noticeSuspension: () -> Unit = {},
) {
    /** Decides about [call] under [configuration], which is null before the first one was read. */
    fun admit(
        now: Long,
        call: CallHead,
        configuration: Configuration?,
    ): Admission {
        if (configuration == null) return Admission.Refused(503, "no-configuration", UNREADY_RETRY_MS)
        val route = configuration.routeOrNull(call.host, call.path) ?: return Admission.Refused(404, "no-route", null)
        if (route.isPublic) return Admission.Admitted(route, null, 0)
        noticeSuspension()
        if (!keyFreshness.isFresh(now)) return Admission.Refused(503, "keys-out-of-date", UNREADY_RETRY_MS)
        if (configuration.workspaces.isEmpty()) return Admission.Admitted(route, null, 0)
        val workspace = call.key?.let(configuration::workspaceOrNull) ?: return Admission.Refused(401, "unknown-key", null)
        val share = shares.shareOrNull(workspace) ?: return Admission.Admitted(route, workspace, 0)
        val cost = if (call.hasTokens) call.promptTokens + call.outputTokens else share.rate.plainTokens
        if (!share.admit(now, cost)) return Admission.Refused(429, "over-rate", share.waitMs(now, cost), workspace.name)
        return Admission.Admitted(route, workspace, cost)
    }

    /** Gives back what a call took that did not run. */
    fun refund(
        now: Long,
        admitted: Admission.Admitted,
    ) {
        admitted.workspace?.let(shares::shareOrNull)?.refund(now, admitted.cost)
    }
}
