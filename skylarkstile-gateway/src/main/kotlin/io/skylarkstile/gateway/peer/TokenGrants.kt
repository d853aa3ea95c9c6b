/*
 * Rate limiting of workspaces in a large fleet. One instance owns the token bucket of a workspace and grants the tokens of each call, so
 * that no call below the rate is refused because its instance's share is small, and many instances don't exceed the rate together before
 * they learn of each other's admissions. A request costs a datagram each way; without an answer the instance falls back to its own share.
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

/** A request is repeated after this time, since datagrams may be lost, in milliseconds. */
private const val RETRY_MS = 20L

/** Timeout of a request, in milliseconds: bounds the caller's wait to about a round trip to a busy instance. */
private const val ANSWER_TIMEOUT_MS = 75L

/** A bucket owner that didn't answer gets no further request for this long, in milliseconds. */
private const val AVOID_UNRESPONSIVE_MS = 500L

/** Number of answers kept to answer repeated requests. */
private const val MAX_REMEMBERED_ANSWERS = 2_048

/** Requests tokens from bucket owners, and grants tokens of the buckets that [self] owns. Not thread-safe. */
internal class TokenGrants(
    private val self: InstanceRecord,
    private val scheduler: Scheduler,
    private val shares: WorkspaceShares,
    private val send: (GatewayDatagram, Collection<InetSocketAddress>) -> Unit,
) : TokenSource {
    private class Pending(
        val bucketOwner: InstanceRecord,
        val ask: TokenAsk,
        val done: (TokenAnswer, Long) -> Unit,
    ) {
        var timer: Timer? = null
    }

    private data class RequestId(
        val sender: String,
        val startedAt: Long,
        val number: Long,
    )

    private val pending = HashMap<Long, Pending>()
    private val answers = LinkedHashMap<RequestId, TokenGrant>()
    private val avoidedUntil = HashMap<String, Long>()
    private val bucketOwners = HashMap<String, InstanceRecord?>()
    private var groups = FleetGroups(InstanceSet.EMPTY, self.name)
    private var number = 0L

    /** Applies the groups of the fleet. The owner of a bucket is a group's first member, since it learns first what others admit. */
    fun apply(groups: FleetGroups) {
        this.groups = groups
        bucketOwners.clear()
        avoidedUntil.clear()
    }

    private fun bucketOwnerOrNull(workspace: String): InstanceRecord? = bucketOwners.getOrPut(workspace) {
        groups.members.values
            .map { it.first() }
            .minWithOrNull(compareBy({ stableHash("bucket|$workspace|${it.name}") }, { it.name }))
    }

    override fun isRemote(
        workspace: String,
        now: Long,
    ): Boolean {
        val bucketOwner = bucketOwnerOrNull(workspace) ?: return false
        return now >= (avoidedUntil[bucketOwner.name] ?: now)
    }

    override fun request(
        workspace: String,
        tokens: Int,
        now: Long,
        done: (TokenAnswer, Long) -> Unit,
    ) {
        val bucketOwner = bucketOwnerOrNull(workspace) ?: return done(TokenAnswer.NoAnswer, now)
        if (bucketOwner.name == self.name) return done(shares.grantOrNull(workspace, tokens, now) ?: TokenAnswer.NoAnswer, now)
        val request = Pending(bucketOwner, TokenAsk(self.startedAt, ++number, workspace, tokens), done)
        pending[request.ask.number] = request
        sendRequest(request, now + ANSWER_TIMEOUT_MS)
    }

    private fun sendRequest(
        request: Pending,
        deadline: Long,
    ) {
        send(GatewayDatagram(sender = self.name, tokenAsk = request.ask), listOf(request.bucketOwner.peers))
        request.timer =
            scheduler.after(RETRY_MS) {
                if (scheduler.now() + RETRY_MS < deadline) sendRequest(request, deadline) else awaitTimeout(request, deadline)
            }
    }

    private fun awaitTimeout(
        request: Pending,
        deadline: Long,
    ) {
        request.timer =
            scheduler.after(maxOf(0, deadline - scheduler.now())) {
                val now = scheduler.now()
                pending.remove(request.ask.number)
                avoidedUntil[request.bucketOwner.name] = now + AVOID_UNRESPONSIVE_MS
                request.done(TokenAnswer.NoAnswer, now)
            }
    }

    /** Answers a request of [sender]; a repeated request gets the same answer as before. */
    fun receive(
        ask: TokenAsk,
        sender: InstanceRecord,
        now: Long,
    ) {
        val requestId = RequestId(sender.name, ask.startedAt, ask.number)
        val answer = answers[requestId] ?: answer(ask, now)?.also { remember(requestId, it) } ?: return
        send(GatewayDatagram(sender = self.name, tokenGrant = answer), listOf(sender.peers))
    }

    private fun answer(
        ask: TokenAsk,
        now: Long,
    ): TokenGrant? = when (val answer = shares.grantOrNull(ask.workspace, ask.tokens, now)) {
        TokenAnswer.Granted -> TokenGrant(ask.startedAt, ask.number, true, 0)
        is TokenAnswer.Refused -> TokenGrant(ask.startedAt, ask.number, false, answer.waitMs)
        TokenAnswer.NoAnswer, null -> null
    }

    private fun remember(
        requestId: RequestId,
        answer: TokenGrant,
    ) {
        answers[requestId] = answer
        if (answers.size > MAX_REMEMBERED_ANSWERS) answers.remove(answers.keys.first())
    }

    /** Handles the answer of a bucket owner. */
    fun receive(
        grant: TokenGrant,
        now: Long,
    ) {
        if (grant.startedAt != self.startedAt) return
        val request = pending.remove(grant.number) ?: return
        request.timer?.cancel()
        avoidedUntil.remove(request.bucketOwner.name)
        request.done(if (grant.isGranted) TokenAnswer.Granted else TokenAnswer.Refused(grant.waitMs), now)
    }
}
