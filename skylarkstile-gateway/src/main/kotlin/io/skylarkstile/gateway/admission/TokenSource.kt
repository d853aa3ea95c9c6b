/*
 * Where tokens of a workspace's rate come from that this instance's share doesn't hold.
 */
package io.skylarkstile.gateway.admission

/** Outcome of asking for the tokens of a call. */
sealed interface TokenAnswer {
    data object Granted : TokenAnswer

    /** No tokens are left; a return is worth while after [waitMs] milliseconds. */
    data class Refused(
        val waitMs: Long,
    ) : TokenAnswer

    /** Nobody answered in time; the own share decides. */
    data object Missing : TokenAnswer
}

/** Grants tokens for the whole fleet. */
interface TokenSource {
    /** Returns whether tokens of [workspace] are to be asked for; otherwise the own share decides. */
    fun isAsked(
        workspace: String,
        now: Long,
    ): Boolean

    /** Asks for [tokens] of [workspace]; [done] gets the answer and the time, once and within some tens of milliseconds. */
    fun ask(
        workspace: String,
        tokens: Int,
        now: Long,
        done: (TokenAnswer, Long) -> Unit,
    )
}

/** Lets the own share decide always. */
object NoTokenSource : TokenSource {
    override fun isAsked(
        workspace: String,
        now: Long,
    ) = false

    override fun ask(
        workspace: String,
        tokens: Int,
        now: Long,
        done: (TokenAnswer, Long) -> Unit,
    ) = done(TokenAnswer.Missing, now)
}
