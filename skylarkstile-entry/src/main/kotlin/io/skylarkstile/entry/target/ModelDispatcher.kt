/*
 * Runs the model requests of this instance's callers: chooses a target, tries the next one if nothing ran, and continues the answer on
 * another target if it breaks off. Completions are idempotent, so they can be repeated safely.
 */
package io.skylarkstile.entry.target

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.core.dispatch.DispatchEvent
import io.skylarkstile.core.retry.RetryBudget
import io.skylarkstile.entry.front.ModelRunner
import io.skylarkstile.schema.generated.Dispatch
import io.skylarkstile.schema.generated.DispatchEnd
import io.skylarkstile.transport.peer.PeerNetwork
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.catch
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withTimeoutOrNull

private val log = KotlinLogging.logger {}

/** Longest wait for a target with an owner; while ownership moves, no target may have one for a moment. */
private const val OWNER_WAIT_MS = 3_000L
private const val OWNER_POLL_MS = 50L

/** Number of rounds over all targets. Another round begins after a pause if the reason of the last failure is transient. */
private const val MAX_ROUNDS = 3
private const val ROUND_PAUSE_MS = 150L

/** Time after the deadline in which the owner of the target can still report the end itself. */
private const val DEADLINE_GRACE_MS = 250L

/** Reasons of failures that another attempt after a short pause may not meet again. */
private val transientReasons = setOf("not-owner", "not-sent", ADAPTER_MISSING, "target-unreachable", "load-failed", "target-busy")

/** Runs model requests for the HTTP front. */
internal interface ModelDispatcher : ModelRunner {
    /**
     * Runs [request], whose `target` is ignored, on a target of its adapter's base model. The flow ends with [DispatchEvent.End]: `done`
     * only if the whole answer was forwarded, `not-run` only if no target ran any part of it.
     */
    override fun run(request: Dispatch): Flow<DispatchEvent>
}

/** Retries requests within [retryBudget] and runs requests that other instances forward to targets owned here. */
internal class RetryingDispatcher(
    private val self: String,
    private val router: StateRouter,
    private val owner: TargetOwner,
    private val network: PeerNetwork,
    private val retryBudget: RetryBudget,
    private val now: () -> Long,
) : ModelDispatcher {
    init {
        network.onDispatch { _, request -> owner.run(request) }
    }

    override fun likelyOwnerOrNull(
        adapter: String,
        version: String,
    ): String? = router.likelyOwnerOrNull(adapter, version, now())

    override fun run(request: Dispatch): Flow<DispatchEvent> = flow {
        retryBudget.request(request.workspace)
        val end = RequestAttempts(request, AnswerSession { emit(it) }).run()
        emit(DispatchEvent.End(end))
    }

    /** Runs the attempts of one request. */
    private inner class RequestAttempts(
        private val request: Dispatch,
        private val session: AnswerSession,
    ) {
        private val startedAt = now()
        private val tried = HashSet<String>()
        private var round = 1
        private var last: DispatchEnd? = null
        private var hasUnknownOutcome = false

        suspend fun run(): DispatchEnd {
            while (true) {
                val candidate = nextCandidateOrNull() ?: return failedEnd("no-target")
                if (remainingMs() <= 0) return failedEnd("deadline")
                if (last != null && !retryBudget.tryRetry(request.workspace)) return failedEnd("retry-budget")
                val end = attempt(candidate)
                if (end.outcome == DispatchEnd.Outcome.Done) return end.also { router.recordFinished(now() - startedAt) }
                recordFailure(candidate, end)
            }
        }

        private fun recordFailure(
            candidate: Candidate,
            end: DispatchEnd,
        ) {
            log.event(
                Level.DEBUG,
                "attempt-ended",
                "requestId" to request.requestId,
                "target" to candidate.target,
                "owner" to candidate.owner,
            ) {
                "attempt ended without success: ${end.outcome.value} ${end.reason}"
            }
            tried.add(candidate.target)
            hasUnknownOutcome = hasUnknownOutcome || end.outcome == DispatchEnd.Outcome.Unknown
            last = end
        }

        private fun remainingMs(): Long = request.deadlineMs - (now() - startedAt)

        /** Returns the next target to try. Waits for a target with an owner or for the next round; returns null if neither can succeed. */
        private suspend fun nextCandidateOrNull(): Candidate? {
            val ownerWaitUntil = now() + OWNER_WAIT_MS
            while (remainingMs() > 0) {
                val candidates = router.candidates(request.adapter, request.version, now())
                candidates.firstOrNull { it.target !in tried }?.let { return it }
                if (candidates.isNotEmpty()) {
                    if (!tryBeginRound()) return null
                } else {
                    if (now() >= ownerWaitUntil) return null
                    delay(OWNER_POLL_MS)
                }
            }
            return null
        }

        private suspend fun tryBeginRound(): Boolean {
            if (last?.outcome != DispatchEnd.Outcome.Unknown && last?.reason !in transientReasons || round >= MAX_ROUNDS) return false
            delay(ROUND_PAUSE_MS * round++)
            tried.clear()
            return true
        }

        private suspend fun attempt(candidate: Candidate): DispatchEnd {
            session.beginAttempt()
            router.recordSent(candidate.target)
            val attemptRequest = request.copy(target = candidate.target, deadlineMs = remainingMs(), resumeFrom = session.tokens)
            val events = if (candidate.owner == self) owner.run(attemptRequest) else network.dispatch(candidate.owner, attemptRequest)
            // The owner enforces the deadline as well; this timeout covers an owner that does not respond.
            return withTimeoutOrNull(remainingMs() + DEADLINE_GRACE_MS) { awaitEnd(candidate, events) }
                ?: unknownEnd("deadline", "instance ${candidate.owner} did not end the request in time")
        }

        private suspend fun awaitEnd(
            candidate: Candidate,
            events: Flow<DispatchEvent>,
        ): DispatchEnd {
            var end: DispatchEnd? = null
            events
                .catch { failure ->
                    log.event(
                        Level.ERROR,
                        "attempt-failed",
                        "requestId" to request.requestId,
                        "target" to candidate.target,
                        cause = failure,
                    ) {
                        "attempt failed with an unexpected exception"
                    }
                    emit(DispatchEvent.End(unknownEnd("internal-error", failure.message)))
                }.firstOrNull { event -> session.handle(event).also { end = it } != null }
            return end ?: unknownEnd("answer-incomplete", "the attempt ended without a result")
        }

        /** Ends the request without success; the outcome is `not-run` only if that of every attempt was. */
        private fun failedEnd(reason: String): DispatchEnd {
            val detail = listOfNotNull(last?.reason, last?.detail, "gave up: $reason").joinToString("; ")
            val maybeRan = hasUnknownOutcome || session.isStarted
            return if (maybeRan) unknownEnd(last?.reason ?: reason, detail) else notRun(last?.reason ?: reason, detail, last?.retryAfterMs)
        }
    }
}
