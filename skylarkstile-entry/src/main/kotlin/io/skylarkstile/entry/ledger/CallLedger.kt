/*
 * Routes non-idempotent calls to the owners of their key ranges.
 */
package io.skylarkstile.entry.ledger

import com.github.michaelbull.result.fold
import io.skylarkstile.core.cluster.ClusterView
import io.skylarkstile.core.cluster.Ownership
import io.skylarkstile.core.cluster.ledgerResource
import io.skylarkstile.core.ledger.LedgerReply
import io.skylarkstile.schema.generated.LedgerAnswer
import io.skylarkstile.schema.generated.LedgerCall
import io.skylarkstile.transport.peer.MessageKinds
import io.skylarkstile.transport.peer.PeerError
import io.skylarkstile.transport.peer.PeerNetwork
import io.skylarkstile.transport.platform.ObjectStore
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay

/** Holds the ledger components of an entry instance. [owner] must be registered with the membership as a resource holder. */
class LedgerPart internal constructor(
    val owner: LedgerOwner,
    val calls: CallLedger,
)

/**
 * Creates the ledger and registers its message handler. Background work runs in [scope]. [clock] returns monotonic milliseconds and
 * [wallClock] milliseconds since the epoch.
 */
fun ledgerPart(
    cluster: ClusterView,
    network: PeerNetwork,
    store: ObjectStore,
    caller: ServiceCaller,
    settings: LedgerPartSettings,
    scope: CoroutineScope,
    clock: () -> Long,
    wallClock: () -> Long = System::currentTimeMillis,
): LedgerPart {
    val owner = LedgerOwner(LedgerEnv(cluster, store, caller, settings, clock, wallClock), scope)
    network.answer(MessageKinds.ledgerCall, MessageKinds.ledgerAnswer) { _, call -> owner.call(call, call.ledgerKey()) }
    return LedgerPart(owner, CallLedger(cluster, network, owner, settings.ledger.ranges, clock))
}

/** Runs non-idempotent calls at most once per idempotency key, on the instance that owns the range of the key. */
class CallLedger internal constructor(
    private val cluster: ClusterView,
    private val network: PeerNetwork,
    private val owner: LedgerOwner,
    private val ranges: Int,
    private val clock: () -> Long,
) {
    /** Runs [call], or returns the outcome of an earlier call with the same key, within [LedgerCall.deadlineMs] milliseconds. */
    suspend fun call(call: LedgerCall): LedgerAnswer = RoutedCall(call).run()

    /** Routes one call; it may try several owners one after the other. */
    private inner class RoutedCall(
        private val call: LedgerCall,
    ) {
        private val key = call.ledgerKey()
        private val started = clock()
        private val deadline = started + call.deadlineMs

        /**
         * Whether an earlier attempt was sent and not answered, so that it may run or have run. A later `not-run` says nothing about that
         * attempt, so only `done` and `unknown` are returned from then on.
         */
        private var mayHaveRun = false

        suspend fun run(): LedgerAnswer {
            while (true) {
                val answer = askOwner()
                if (answer != null && isFinal(answer)) return answer
                if (clock() + RETRY_INTERVAL_MS >= retryUntil()) return finalAnswer(answer)
                delay(RETRY_INTERVAL_MS)
            }
        }

        private suspend fun askOwner(): LedgerAnswer? =
            when (val ownership = cluster.ownership(ledgerResource(key.range(ranges)), clock())) {
                is Ownership.Held -> owner.call(callWithRemainingTime(), key)
                is Ownership.Elsewhere -> forward(ownership.instance)
                Ownership.Pending ->
                    notRun(
                        LedgerReply.NOT_OWNER,
                        "the key range of the call is waiting for its previous owner to release it",
                    )
                Ownership.Nobody -> notRun(LedgerReply.NOT_OWNER, "the key range of the call has no owner")
            }

        private suspend fun forward(instance: String): LedgerAnswer? {
            val timeout = maxOf(1, deadline - clock())
            return network.call(instance, MessageKinds.ledgerCall, callWithRemainingTime(), MessageKinds.ledgerAnswer, timeout).fold(
                success = { it },
                failure = { onForwardFailed(instance, it) },
            )
        }

        private fun onForwardFailed(
            instance: String,
            error: PeerError,
        ): LedgerAnswer? {
            if (error is PeerError.NotSent) return notRun("owner-unreachable", "the owner '$instance' of the key range cannot be reached")
            mayHaveRun = true
            return null
        }

        private fun isFinal(answer: LedgerAnswer): Boolean {
            if (answer.outcome != LedgerAnswer.Outcome.NotRun) return true
            return !mayHaveRun && answer.reason != LedgerReply.NOT_OWNER
        }

        private fun finalAnswer(answer: LedgerAnswer?): LedgerAnswer =
            if (mayHaveRun || answer == null) unknown("the owner of the key range did not answer") else answer

        /** Returns when to stop trying: soon for a range without an owner, at the deadline for a call that may have run. */
        private fun retryUntil() = if (mayHaveRun) deadline else minOf(deadline, started + NO_OWNER_TIMEOUT_MS)

        /** Returns the call with a slightly shorter deadline, so that the owner's answer arrives before the deadline of this instance. */
        private fun callWithRemainingTime() = call.copy(deadlineMs = maxOf(1, deadline - clock() - ANSWER_MARGIN_MS))
    }

    private companion object {
        const val RETRY_INTERVAL_MS = 100L
        const val NO_OWNER_TIMEOUT_MS = 2_000L
        const val ANSWER_MARGIN_MS = 50L
    }
}
