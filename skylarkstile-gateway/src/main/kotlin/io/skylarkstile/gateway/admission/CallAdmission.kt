/*
 * Decides whether a call may run, by its route, its API key and the token rate of its workspace. Refusals carry the delay after which a
 * retry may succeed.
 */
package io.skylarkstile.gateway.admission

import io.skylarkstile.gateway.model.CallHead
import io.skylarkstile.gateway.model.Configuration
import io.skylarkstile.gateway.model.Route
import io.skylarkstile.gateway.model.Workspace

/** Retry delay in milliseconds for callers of an instance that has no usable configuration or no current keys yet. */
const val NOT_READY_RETRY_MS = 500L

/** Result of an admission check. */
sealed interface Admission {
    /** The call may run; [cost] tokens were deducted from the share of [workspace]. */
    data class Admitted(
        val route: Route,
        val workspace: Workspace?,
        val cost: Int,
    ) : Admission

    /** The [cost] tokens of [workspace] must first be granted by another instance: see [CallAdmission.completeAdmission]. */
    data class PendingTokens(
        val workspace: Workspace,
        val cost: Int,
    ) : Admission

    /** The call is refused and has not run. [retryAfterMs] is null if a retry can't succeed. */
    data class Refused(
        val status: Int,
        val reason: String,
        val retryAfterMs: Long?,
        val workspace: String? = null,
        /** Rate-limiter state behind a refusal for exceeding the workspace's rate, null for other refusals. */
        val shareState: ShareState? = null,
    ) : Admission
}

/** Admits or refuses calls under the active configuration. */
class CallAdmission(
    private val shares: WorkspaceShares,
    private val keyFreshness: Freshness,
    private val tokens: TokenSource = NoTokenSource,
    /** Checks whether this process was suspended. Called here because calls that queued up meanwhile are read before any timer fires. */
    private val checkSuspension: () -> Unit = {},
) {
    /** Checks [call] against [configuration], which is null until the first one has been read. */
    fun admit(
        now: Long,
        call: CallHead,
        configuration: Configuration?,
    ): Admission {
        val authorized = authorize(now, call, configuration)
        val workspace = (authorized as? Admission.Admitted)?.workspace ?: return authorized
        val share = shares.shareOrNull(workspace) ?: return authorized
        val cost = if (call.hasTokens) call.promptTokens + call.outputTokens else share.rate.defaultCost
        if (!tokens.isRemote(workspace.name, now)) return admitByShare(now, authorized.copy(cost = cost), share)
        share.recordDemand(now, cost)
        return Admission.PendingTokens(workspace, cost)
    }

    /**
     * Requests the tokens that [pending] requires for [call]; [done] receives the time of the decision and the decision. The key and the
     * route are checked again when the answer arrives, because they may have changed or this process may have been suspended meanwhile.
     */
    fun completeAdmission(
        now: Long,
        call: CallHead,
        pending: Admission.PendingTokens,
        configuration: () -> Configuration?,
        done: (Long, Admission) -> Unit,
    ) = tokens.request(pending.workspace.name, pending.cost, now) { answer, at ->
        done(at, applyAnswer(at, pending, answer, authorize(at, call, configuration())))
    }

    private fun applyAnswer(
        now: Long,
        pending: Admission.PendingTokens,
        answer: TokenAnswer,
        authorized: Admission,
    ): Admission {
        val share = shares.shareOrNull(pending.workspace) ?: return authorized
        if (answer != TokenAnswer.NoAnswer) share.drainBucket(now)
        if (authorized !is Admission.Admitted || authorized.workspace?.name != pending.workspace.name) {
            if (answer == TokenAnswer.Granted) share.refund(now, pending.cost)
            return authorized
        }
        val admitted = authorized.copy(cost = pending.cost)
        return when (answer) {
            TokenAnswer.Granted -> admitted
            is TokenAnswer.Refused -> Admission.Refused(429, OVER_RATE, answer.waitMs, pending.workspace.name)
            TokenAnswer.NoAnswer -> admitByShare(now, admitted, share)
        }
    }

    /** Looks up the route and the key. Returns an admission with cost 0, or a refusal. */
    private fun authorize(
        now: Long,
        call: CallHead,
        configuration: Configuration?,
    ): Admission {
        if (configuration == null) return Admission.Refused(503, "no-configuration", NOT_READY_RETRY_MS)
        val route = configuration.routeOrNull(call.host, call.path) ?: return Admission.Refused(404, "no-route", null)
        if (route.services.isEmpty()) return Admission.Refused(503, "no-service", NOT_READY_RETRY_MS)
        if (route.isPublic) return Admission.Admitted(route, null, 0)
        checkSuspension()
        if (!keyFreshness.isFresh(now)) return Admission.Refused(503, "keys-out-of-date", NOT_READY_RETRY_MS)
        if (configuration.workspaces == null) return Admission.Admitted(route, null, 0)
        val workspace = call.key?.let(configuration::workspaceOrNull) ?: return Admission.Refused(401, "unknown-key", null)
        return Admission.Admitted(route, workspace, 0)
    }

    private fun admitByShare(
        now: Long,
        admitted: Admission.Admitted,
        share: WorkspaceShare,
    ): Admission {
        if (share.admit(now, admitted.cost)) return admitted
        return Admission.Refused(429, OVER_RATE, share.retryAfterMs(now, admitted.cost), admitted.workspace?.name, share.state())
    }

    /** Returns the tokens of an admitted call that did not run. */
    fun refund(
        now: Long,
        admitted: Admission.Admitted,
    ) {
        admitted.workspace?.let(shares::shareOrNull)?.refund(now, admitted.cost)
    }

    private companion object {
        const val OVER_RATE = "over-rate"
    }
}
