/*
 * Grants tokens of a workspace's rate fleet-wide, for calls that this instance's own share doesn't decide.
 */
package io.skylarkstile.gateway.admission

/** Answer to a request for the tokens of a call. */
sealed interface TokenAnswer {
    data object Granted : TokenAnswer

    /** No tokens are left; a retry may succeed after [waitMs] milliseconds. */
    data class Refused(
        val waitMs: Long,
    ) : TokenAnswer

    /** No answer arrived in time; this instance's share decides. */
    data object NoAnswer : TokenAnswer
}

/** Grants tokens from the fleet-wide bucket of a workspace. */
interface TokenSource {
    /** Returns whether tokens of [workspace] must be requested from this source; otherwise this instance's share decides. */
    fun isRemote(
        workspace: String,
        now: Long,
    ): Boolean

    /** Requests [tokens] of [workspace]. [done] receives the answer and its time exactly once, within some tens of milliseconds. */
    fun request(
        workspace: String,
        tokens: Int,
        now: Long,
        done: (TokenAnswer, Long) -> Unit,
    )
}

/** Grants nothing, so that this instance's share always decides. */
object NoTokenSource : TokenSource {
    override fun isRemote(
        workspace: String,
        now: Long,
    ) = false

    override fun request(
        workspace: String,
        tokens: Int,
        now: Long,
        done: (TokenAnswer, Long) -> Unit,
    ) = done(TokenAnswer.NoAnswer, now)
}
