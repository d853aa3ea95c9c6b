/*
 * Tokens of workspaces' rates in a large fleet. One instance keeps the bucket of a workspace and grants the tokens of each call, so that
 * neither a call below the rate is refused because its instance's share is small, nor many instances admit more than the rate before they
 * hear of each other. A question costs a datagram each way; while the keeper doesn't answer, the shares decide.
 */
package io.skylarkstile.gateway.peer

import io.skylarkstile.core.cluster.stableHash
import io.skylarkstile.gateway.admission.TokenAnswer
import io.skylarkstile.gateway.admission.TokenSource
import io.skylarkstile.gateway.admission.WorkspaceShares
import io.skylarkstile.gateway.main.Scheduler
import io.skylarkstile.gateway.main.Timer
import io.skylarkstile.gateway.membership.FleetGroups
import io.skylarkstile.gateway.membership.InstanceRecord
import io.skylarkstile.gateway.membership.InstanceSet
import io.skylarkstile.schema.generated.GatewayDatagram
import io.skylarkstile.schema.generated.TokenAsk
import io.skylarkstile.schema.generated.TokenGrant
import java.net.InetSocketAddress

/** A question is repeated after this time, since a datagram may be lost, in milliseconds. */
private const val REPEAT_MS = 20L

/** Time for an answer, in milliseconds: a caller waits no longer than for a round trip to a busy instance. */
private const val ANSWER_MS = 75L

/** A keeper that didn't answer isn't asked for this long, in milliseconds. */
private const val AVOIDED_MS = 500L

/** Answers that are remembered for repeated questions. */
private const val REMEMBERED_ANSWERS = 2_048

/** Asks and grants as the instance [self]. Not thread-safe. */
internal class TokenGrants(
    private val self: InstanceRecord,
    private val scheduler: Scheduler,
    private val shares: WorkspaceShares,
    private val send: (GatewayDatagram, Collection<InetSocketAddress>) -> Unit,
) : TokenSource {
    private class Pending(
        val keeper: InstanceRecord,
        val ask: TokenAsk,
        val done: (TokenAnswer, Long) -> Unit,
    ) {
        var timer: Timer? = null
    }

    private data class Question(
        val sender: String,
        val startedAt: Long,
        val number: Long,
    )

    private val pending = HashMap<Long, Pending>()
    private val answers = LinkedHashMap<Question, TokenGrant>()
    private val avoidedUntil = HashMap<String, Long>()
    private val keepers = HashMap<String, InstanceRecord?>()
    private var groups = FleetGroups(InstanceSet.EMPTY, self.name)
    private var number = 0L

    /** Applies the groups of the fleet: the first member of one of them keeps a bucket, since it hears first what shares have admitted. */
    fun apply(groups: FleetGroups) {
        this.groups = groups
        keepers.clear()
        avoidedUntil.clear()
    }

    private fun keeperOrNull(workspace: String): InstanceRecord? = keepers.getOrPut(workspace) {
        groups.members.values
            .map { it.first() }
            .minWithOrNull(compareBy({ stableHash("bucket|$workspace|${it.name}") }, { it.name }))
    }

    override fun isAsked(
        workspace: String,
        now: Long,
    ): Boolean {
        val keeper = keeperOrNull(workspace) ?: return false
        return now >= (avoidedUntil[keeper.name] ?: now)
    }

    override fun ask(
        workspace: String,
        tokens: Int,
        now: Long,
        done: (TokenAnswer, Long) -> Unit,
    ) {
        val keeper = keeperOrNull(workspace) ?: return done(TokenAnswer.Missing, now)
        if (keeper.name == self.name) return done(shares.grantOrNull(workspace, tokens, now) ?: TokenAnswer.Missing, now)
        val asking = Pending(keeper, TokenAsk(self.startedAt, ++number, workspace, tokens), done)
        pending[asking.ask.number] = asking
        sendQuestion(asking, now + ANSWER_MS)
    }

    private fun sendQuestion(
        asking: Pending,
        endAt: Long,
    ) {
        send(GatewayDatagram(sender = self.name, tokenAsk = asking.ask), listOf(asking.keeper.peers))
        asking.timer =
            scheduler.after(REPEAT_MS) {
                if (scheduler.now() + REPEAT_MS < endAt) sendQuestion(asking, endAt) else awaitLast(asking, endAt)
            }
    }

    private fun awaitLast(
        asking: Pending,
        endAt: Long,
    ) {
        asking.timer =
            scheduler.after(maxOf(0, endAt - scheduler.now())) {
                val now = scheduler.now()
                pending.remove(asking.ask.number)
                avoidedUntil[asking.keeper.name] = now + AVOIDED_MS
                asking.done(TokenAnswer.Missing, now)
            }
    }

    /** Answers a question of [sender]; one that is repeated gets the answer that it got before. */
    fun receive(
        ask: TokenAsk,
        sender: InstanceRecord,
        now: Long,
    ) {
        val question = Question(sender.name, ask.startedAt, ask.number)
        val answer = answers[question] ?: answer(ask, now)?.also { remember(question, it) } ?: return
        send(GatewayDatagram(sender = self.name, tokenGrant = answer), listOf(sender.peers))
    }

    private fun answer(
        ask: TokenAsk,
        now: Long,
    ): TokenGrant? = when (val answer = shares.grantOrNull(ask.workspace, ask.tokens, now)) {
        TokenAnswer.Granted -> TokenGrant(ask.startedAt, ask.number, true, 0)
        is TokenAnswer.Refused -> TokenGrant(ask.startedAt, ask.number, false, answer.waitMs)
        TokenAnswer.Missing, null -> null
    }

    private fun remember(
        question: Question,
        answer: TokenGrant,
    ) {
        answers[question] = answer
        if (answers.size > REMEMBERED_ANSWERS) answers.remove(answers.keys.first())
    }

    /** Takes an answer of the keeper. */
    fun receive(
        grant: TokenGrant,
        now: Long,
    ) {
        if (grant.startedAt != self.startedAt) return
        val asking = pending.remove(grant.number) ?: return
        asking.timer?.cancel()
        avoidedUntil.remove(asking.keeper.name)
        asking.done(if (grant.isGranted) TokenAnswer.Granted else TokenAnswer.Refused(grant.waitMs), now)
    }
}
