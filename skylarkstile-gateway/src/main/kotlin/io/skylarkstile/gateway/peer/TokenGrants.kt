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
import io.skylarkstile.gateway.membership.FleetGroups
import io.skylarkstile.gateway.membership.InstanceRecord
import io.skylarkstile.gateway.membership.InstanceSet
import io.skylarkstile.schema.generated.GatewayDatagram
import io.skylarkstile.schema.generated.TokenAsk
import io.skylarkstile.schema.generated.TokenGrant
import java.net.InetSocketAddress

/** Requests tokens from bucket owners, and grants tokens of the buckets that [self] owns. Not thread-safe. */
internal class TokenGrants(
    private val self: InstanceRecord,
    private val scheduler: Scheduler,
    private val shares: WorkspaceShares,
    private val send: (GatewayDatagram, Collection<InetSocketAddress>) -> Unit,
) : TokenSource {
    private val requests = PeerRequests<TokenGrant>(scheduler, send)
    private val answers = RememberedAnswers<TokenGrant>()
    private val bucketOwners = HashMap<String, InstanceRecord?>()
    private var groups = FleetGroups(InstanceSet.EMPTY, self.name)

    /** Applies the groups of the fleet. The owner of a bucket is a group's first member, since it learns first what others admit. */
    fun apply(groups: FleetGroups) {
        this.groups = groups
        bucketOwners.clear()
        requests.clearAvoided()
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
        return !requests.isAvoided(bucketOwner.name, now)
    }

    override fun request(
        workspace: String,
        tokens: Int,
        now: Long,
        done: (TokenAnswer, Long) -> Unit,
    ) {
        val bucketOwner = bucketOwnerOrNull(workspace) ?: return done(TokenAnswer.NoAnswer, now)
        if (bucketOwner.name == self.name) return done(shares.grantOrNull(workspace, tokens, now) ?: TokenAnswer.NoAnswer, now)
        val datagramOf = { number: Long -> GatewayDatagram(self.name, tokenAsk = TokenAsk(self.startedAt, number, workspace, tokens)) }
        requests.request(bucketOwner, now, datagramOf) { grant, at -> done(answerOf(grant), at) }
    }

    private fun answerOf(grant: TokenGrant?): TokenAnswer = when {
        grant == null -> TokenAnswer.NoAnswer
        grant.isGranted -> TokenAnswer.Granted
        else -> TokenAnswer.Refused(grant.waitMs)
    }

    /** Answers a request of [sender]; a repeated request gets the same answer as before. */
    fun receive(
        ask: TokenAsk,
        sender: InstanceRecord,
        now: Long,
    ) {
        val answer = answers.getOrDecide(RequestId(sender.name, ask.startedAt, ask.number)) { answer(ask, now) } ?: return
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

    /** Handles the answer of a bucket owner. */
    fun receive(
        grant: TokenGrant,
        now: Long,
    ) {
        if (grant.startedAt == self.startedAt) requests.receive(grant.number, grant, now)
    }
}
