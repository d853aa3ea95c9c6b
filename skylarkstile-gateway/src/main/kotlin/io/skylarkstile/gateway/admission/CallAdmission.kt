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

    /** Another instance has to grant the [cost] tokens of [workspace] first: see [CallAdmission.decide]. */
    data class Undecided(
        val workspace: Workspace,
        val cost: Int,
    ) : Admission

    /** The call has not run. [retryAfterMs] is null where coming back doesn't help. */
    data class Refused(
        val status: Int,
        val reason: String,
        val retryAfterMs: Long?,
        val workspace: String? = null,
        /** What decided a refusal for the workspace's rate. */
        val share: ShareState? = null,
    ) : Admission
}

/** Admits calls by the configuration in force. */
class CallAdmission(
    private val shares: WorkspaceShares,
    private val keyFreshness: Freshness,
    private val tokens: TokenSource = NoTokenSource,
    /** Notices that this process stood still: calls that waited meanwhile are read before any timer fires. */
    private val noticeSuspension: () -> Unit = {},
) {
    /** Decides about [call] under [configuration], which is null before the first one was read. */
    fun admit(
        now: Long,
        call: CallHead,
        configuration: Configuration?,
    ): Admission {
        val authorized = authorize(now, call, configuration)
        val workspace = (authorized as? Admission.Admitted)?.workspace ?: return authorized
        val share = shares.shareOrNull(workspace) ?: return authorized
        val cost = if (call.hasTokens) call.promptTokens + call.outputTokens else share.rate.plainTokens
        if (!tokens.isAsked(workspace.name, now)) return byShare(now, authorized.copy(cost = cost), share)
        share.count(now, cost)
        return Admission.Undecided(workspace, cost)
    }

    /**
     * Asks for the tokens that [call] needs as [undecided] says; [done] gets the decision and the time at which it was made. The key and the
     * route are looked up again then, since either may have changed, or this process may have stood still.
     */
    fun decide(
        now: Long,
        call: CallHead,
        undecided: Admission.Undecided,
        configuration: () -> Configuration?,
        done: (Long, Admission) -> Unit,
    ) = tokens.ask(undecided.workspace.name, undecided.cost, now) { answer, at ->
        done(at, decided(at, undecided, answer, authorize(at, call, configuration())))
    }

    private fun decided(
        now: Long,
        undecided: Admission.Undecided,
        answer: TokenAnswer,
        authorized: Admission,
    ): Admission {
        val share = shares.shareOrNull(undecided.workspace) ?: return authorized
        if (answer != TokenAnswer.Missing) share.answeredElsewhere(now)
        if (authorized !is Admission.Admitted || authorized.workspace?.name != undecided.workspace.name) {
            if (answer == TokenAnswer.Granted) share.refund(now, undecided.cost)
            return authorized
        }
        val admitted = authorized.copy(cost = undecided.cost)
        return when (answer) {
            TokenAnswer.Granted -> admitted
            is TokenAnswer.Refused -> Admission.Refused(429, OVER_RATE, answer.waitMs, undecided.workspace.name)
            TokenAnswer.Missing -> byShare(now, admitted, share)
        }
    }

    /** Looks up route and key: returns an admission without cost, or a refusal. */
    private fun authorize(
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
        return Admission.Admitted(route, workspace, 0)
    }

    private fun byShare(
        now: Long,
        admitted: Admission.Admitted,
        share: WorkspaceShare,
    ): Admission {
        if (share.admit(now, admitted.cost)) return admitted
        return Admission.Refused(429, OVER_RATE, share.waitMs(now, admitted.cost), admitted.workspace?.name, share.state())
    }

    /** Gives back what a call took that did not run. */
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
