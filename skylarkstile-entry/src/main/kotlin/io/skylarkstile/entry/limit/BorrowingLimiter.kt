/*
 * Admission of requests with tokens of this instance and tokens borrowed from its peers. [WorkspaceQuota] makes the decisions; this file
 * calls it under the lock of the workspace's shard and carries out the effects: answers to waiting requests and messages to peers.
 */
package io.skylarkstile.entry.limit

import com.github.michaelbull.result.fold
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.core.cluster.ClusterView
import io.skylarkstile.core.limit.Admission
import io.skylarkstile.core.limit.AdmissionLimiter
import io.skylarkstile.core.limit.Amount
import io.skylarkstile.core.limit.BORROWED_MS
import io.skylarkstile.core.limit.PlannedAsk
import io.skylarkstile.core.limit.QuotaEffect
import io.skylarkstile.core.limit.QuotaEnvironment
import io.skylarkstile.core.limit.QuotaHandover
import io.skylarkstile.core.limit.QuotaTicket
import io.skylarkstile.core.limit.Reservation
import io.skylarkstile.core.limit.Settlement
import io.skylarkstile.core.limit.WorkspaceQuota
import io.skylarkstile.core.snapshot.SnapshotSource
import io.skylarkstile.schema.generated.QuotaAsk
import io.skylarkstile.schema.generated.QuotaGrant
import io.skylarkstile.schema.generated.QuotaSettings
import io.skylarkstile.schema.generated.QuotaSettle
import io.skylarkstile.transport.peer.MessageKinds
import io.skylarkstile.transport.peer.PeerNetwork
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean

private val log = KotlinLogging.logger {}

/** An [AdmissionLimiter] that reports counts and states. */
interface ReportingLimiter :
    AdmissionLimiter,
    QuotaReport

/**
 * Creates the limiter of an entry instance and starts its timers and message handlers in [scope]. [clock] returns monotonic milliseconds
 * and must be the clock that [cluster] uses.
 */
fun borrowingLimiter(
    settings: QuotaSettings,
    cluster: ClusterView,
    snapshots: SnapshotSource,
    peers: PeerNetwork,
    scope: CoroutineScope,
    clock: () -> Long,
): ReportingLimiter = BorrowingLimiter(settings, cluster, snapshots, peers, scope, clock).apply { start() }

/** Admits requests by workspace and borrows tokens from peers when the local ones do not suffice. */
internal class BorrowingLimiter(
    settings: QuotaSettings,
    cluster: ClusterView,
    private val snapshots: SnapshotSource,
    private val peers: PeerNetwork,
    private val scope: CoroutineScope,
    private val clock: () -> Long,
) : ReportingLimiter {
    private val waitMs = settings.borrowWaitMs.toLong()
    private val shards = QuotaShards(waitMs, clock)
    private val environments = QuotaEnvironments(cluster, peers)
    private val pendingAnswers = ConcurrentHashMap<QuotaTicket, CompletableDeferred<Admission>>()
    private val counters = ConcurrentHashMap<String, QuotaCounter>()

    /** Wakes the poll loop when a workspace becomes busy; the loop sleeps longer while none is. */
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)

    fun start() {
        snapshots.onChange { applySnapshot() }
        applySnapshot()
        peers.answer(MessageKinds.quotaAsk, MessageKinds.quotaGrant) { from, ask -> lend(from, ask) }
        peers.receive(MessageKinds.quotaSettle) { from, settle -> onSettled(from, settle) }
        scope.launch { pollLoop() }
    }

    override suspend fun admit(
        workspace: String,
        tokens: Int,
    ): Admission {
        val answer = CompletableDeferred<Admission>()
        var ticket: QuotaTicket? = null
        decide(workspace) { quota, now, environment ->
            val (arrived, effects) = quota.arrive(now, environment, Amount(1.0, tokens.toDouble()))
            pendingAnswers[arrived] = answer
            ticket = arrived
            effects
        }
        val arrived = ticket ?: return refuse(workspace, "unknown-workspace")
        return awaitAnswer(workspace, arrived, answer)
    }

    override fun counts(): Map<String, QuotaCounts> = counters.mapValues { it.value.counts() }

    override fun dump(): List<QuotaState> =
        shards.workspaces.sorted().mapNotNull { name -> shards.withQuota(name) { quota, _ -> state(name, quota) } }

    private suspend fun awaitAnswer(
        workspace: String,
        ticket: QuotaTicket,
        answer: CompletableDeferred<Admission>,
    ): Admission {
        var isDelivered = false
        if (!answer.isCompleted) wakeUps.trySend(Unit)
        try {
            while (withTimeoutOrNull(maxOf(1, ticket.deadline - clock())) { answer.join() } == null) {
                val isKnown = poll(workspace) != null
                // Another thread may have decided under the lock without having delivered the answer yet. A request stays without an answer
                // only if its workspace was removed, or removed and created again.
                if (!isKnown || clock() >= ticket.deadline + ANSWER_GRACE_MS) answer.complete(Admission.Refused("unknown-workspace", 0))
            }
            return answer.await().also { isDelivered = true }
        } finally {
            // The caller was cancelled: removes the request from the queue or refunds its charge.
            if (!isDelivered) abandon(workspace, ticket, answer)
        }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private fun abandon(
        workspace: String,
        ticket: QuotaTicket,
        answer: CompletableDeferred<Admission>,
    ) {
        pendingAnswers.remove(ticket)
        shards.withQuota(workspace) { quota, _ -> quota.abandon(ticket) }
        answer.cancel()
        if (!answer.isCancelled) (answer.getCompleted() as? Admission.Admitted)?.cancel()
    }

    private fun poll(workspace: String) = decide(workspace) { quota, now, environment -> quota.poll(now, environment) }

    /** Runs [decision] under the lock of [workspace] and its effects outside of it. Returns `null` if the workspace has no quota. */
    private inline fun decide(
        workspace: String,
        crossinline decision: (WorkspaceQuota, Long, QuotaEnvironment) -> List<QuotaEffect>,
    ): Unit? {
        val effects = shards.withQuota(workspace) { quota, now -> decision(quota, now, environments.at(now)) } ?: return null
        effects.forEach { perform(workspace, it) }
        return Unit
    }

    private fun perform(
        workspace: String,
        effect: QuotaEffect,
    ) {
        when (effect) {
            is QuotaEffect.Admit -> onAdmitted(workspace, effect)
            is QuotaEffect.Refuse -> onRefused(workspace, effect)
            is QuotaEffect.Ask -> sendAsk(workspace, effect.ask)
            is QuotaEffect.Settle -> sendSettlement(workspace, effect.settlement)
        }
    }

    private fun onAdmitted(
        workspace: String,
        effect: QuotaEffect.Admit,
    ) {
        val admission = QuotaAdmission(workspace, effect.reservation)
        val answer = pendingAnswers.remove(effect.ticket)
        if (answer?.complete(admission) == true) counter(workspace).recordAdmitted() else admission.cancel()
    }

    private fun onRefused(
        workspace: String,
        effect: QuotaEffect.Refuse,
    ) {
        counter(workspace).recordRefused(effect.reason)
        pendingAnswers.remove(effect.ticket)?.complete(Admission.Refused(effect.reason, effect.retryAfterMs))
    }

    private fun refuse(
        workspace: String,
        reason: String,
    ): Admission.Refused {
        log.event(Level.DEBUG, "request-refused", "workspace" to workspace, "reason" to reason) { "request refused" }
        return Admission.Refused(reason, 0)
    }

    private fun sendAsk(
        workspace: String,
        ask: PlannedAsk,
    ) {
        counter(workspace).recordAsk()
        scope.launch {
            val message = QuotaAsk(ask.ask, workspace, ask.amount.requests, ask.amount.tokens, ask.toKeep, ask.urgent)
            peers.call(ask.peer, MessageKinds.quotaAsk, message, MessageKinds.quotaGrant, BORROWED_MS).fold(
                success = { onGranted(workspace, ask, it) },
                failure = { shards.withQuota(workspace) { quota, now -> quota.askFailed(now, ask.ask) } },
            )
        }
    }

    private fun onGranted(
        workspace: String,
        ask: PlannedAsk,
        grant: QuotaGrant,
    ) {
        val amount = Amount(grant.requests, grant.tokens)
        val handover = QuotaHandover(amount, grant.fill ?: 1.0)
        counter(workspace).recordBorrowed(amount)
        decide(workspace) { quota, now, environment -> quota.granted(now, environment, ask.peer, ask.ask, handover) }
        wakeUps.trySend(Unit)
    }

    /** Sends a settlement. If it is lost, the loan ends a little later, by the clock of the lender. */
    private fun sendSettlement(
        workspace: String,
        settlement: Settlement,
    ) {
        val message = QuotaSettle(settlement.ask, workspace, settlement.returned.requests, settlement.returned.tokens)
        peers.send(settlement.lender, MessageKinds.quotaSettle, message)
    }

    private fun lend(
        from: String,
        ask: QuotaAsk,
    ): QuotaGrant {
        val wanted = Amount(ask.requests, ask.tokens).positive()
        val given =
            shards.withQuota(ask.workspace) { quota, now ->
                quota.lend(now, environments.at(now), from, ask.ask, wanted, ask.toKeep == true, ask.urgent == true)
            } ?: QuotaHandover.NONE
        if (!given.amount.isNothing()) counter(ask.workspace).recordLent(given.amount)
        return QuotaGrant(ask.ask, given.amount.requests, given.amount.tokens, given.fill)
    }

    private fun onSettled(
        from: String,
        message: QuotaSettle,
    ) {
        val returned = Amount(message.requestsReturned, message.tokensReturned).positive()
        decide(message.workspace) { quota, now, environment -> quota.settled(now, environment, from, message.ask, returned) }
    }

    private fun applySnapshot() =
        shards.apply(snapshots.current()) { quota, now, limits -> quota.change(now, environments.at(now), limits) }

    /** Polls busy workspaces every [TICK_MS] and all others every [FULL_TICK_MS], often enough to observe each lease before it ends. */
    private suspend fun pollLoop() {
        var lastFullPollAt = clock()
        while (scope.isActive) {
            if (shards.workspaces.any(::isBusy)) delay(TICK_MS) else withTimeoutOrNull(FULL_TICK_MS) { wakeUps.receive() }
            val isFullPoll = clock() - lastFullPollAt >= FULL_TICK_MS
            if (isFullPoll) lastFullPollAt = clock()
            shards.workspaces.forEach { name -> if (isFullPoll || isBusy(name)) poll(name) }
        }
    }

    private fun isBusy(workspace: String): Boolean = shards.withQuota(workspace) { quota, _ -> quota.isBusy } == true

    private fun state(
        workspace: String,
        quota: WorkspaceQuota,
    ): QuotaState = with(quota.account) {
        QuotaState(
            workspace,
            stock.requests,
            stock.tokens,
            lent.requests,
            lent.tokens,
            borrowed.requests,
            borrowed.tokens,
            capacity.requests,
            capacity.tokens,
            quota.waitingRequests,
        )
    }

    private fun counter(workspace: String) = counters.computeIfAbsent(workspace) { QuotaCounter() }

    private inner class QuotaAdmission(
        private val workspace: String,
        private val reservation: Reservation,
    ) : Admission.Admitted {
        private val isFinished = AtomicBoolean()

        override fun settle(generatedTokens: Int) = refund(Amount(0.0, reservation.charged.tokens - generatedTokens))

        override fun cancel() = refund(reservation.charged)

        private fun refund(unused: Amount) {
            if (!isFinished.compareAndSet(false, true)) return
            decide(workspace) { quota, now, environment -> quota.refund(now, environment, reservation, unused) }
        }
    }

    private companion object {
        const val TICK_MS = 10L

        /** Time in ms after the deadline within which the answer to a decided request is delivered even on a busy machine. */
        const val ANSWER_GRACE_MS = 1_000L
        const val FULL_TICK_MS = 250L
    }
}
