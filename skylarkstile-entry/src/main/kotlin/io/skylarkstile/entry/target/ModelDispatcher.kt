/*
 * Runs the model requests of this instance's callers: chooses a target, tries the next one when nothing ran, and continues elsewhere
 * when an answer breaks off. Completions are idempotent, so a repeat does no harm.
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

/** While ownership moves no target may have an owner for a moment; a request waits this long for one. */
private const val OWNER_WAIT_MS = 3_000L
private const val OWNER_POLL_MS = 50L

/** All targets are tried again this many times, after a pause, when the reason passes quickly. */
private const val ROUNDS = 3
private const val ROUND_PAUSE_MS = 150L
private const val DEADLINE_GRACE_MS = 250L
private val passingReasons = setOf("not-owner", "not-sent", ADAPTER_MISSING, "target-unreachable", "load-failed", "target-busy")

/** Runs model requests for the HTTP front. */
internal interface ModelDispatcher : ModelRunner {
    /**
     * Runs [request], whose `target` is ignored, on a target of its adapter's base model. The flow ends with [DispatchEvent.End]: `done` only
     * when the whole answer was passed on, `not-run` only when no target ran any of it.
     */
    override fun run(request: Dispatch): Flow<DispatchEvent>
}

internal class RetryingDispatcher(
    private val self: String,
    private val router: StateRouter,
    private val owner: TargetOwner,
    private val network: PeerNetwork,
    private val budget: RetryBudget,
    private val now: () -> Long,
) : ModelDispatcher {
    init {
        network.onDispatch { _, request -> owner.run(request) }
    }

    override fun likelyOwnerOrNull(
        adapter: String,
        version: String,
    ): String? = router.addressFor(adapter, version, now())

    override fun run(request: Dispatch): Flow<DispatchEvent> = flow {
        budget.request(request.workspace)
        val end = RequestAttempts(request, AnswerSession { emit(it) }).run()
        emit(DispatchEvent.End(end))
    }

    /** The attempts of one request. */
    private inner class RequestAttempts(
        private val request: Dispatch,
        private val session: AnswerSession,
    ) {
        private val startedAt = now()
        private val tried = HashSet<String>()
        private var round = 1
        private var last: DispatchEnd? = null
        private var hasUnknown = false

        suspend fun run(): DispatchEnd {
            while (true) {
                val candidate = nextOrNull() ?: return failure("no-target")
                if (remainingMs() <= 0) return failure("deadline")
                if (last != null && !budget.tryRetry(request.workspace)) return failure("retry-budget")
                val end = attempt(candidate)
                if (end.outcome == DispatchEnd.Outcome.Done) return end.also { router.finished(now() - startedAt) }
                note(candidate, end)
            }
        }

        private fun note(
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
                "an attempt ended: ${end.outcome.value} ${end.reason}"
            }
            tried.add(candidate.target)
            hasUnknown = hasUnknown || end.outcome == DispatchEnd.Outcome.Unknown
            last = end
        }

        private fun remainingMs(): Long = request.deadlineMs - (now() - startedAt)

        /** Returns the next target; waits for one that has an owner, or for the next round, as long as that can help. */
        private suspend fun nextOrNull(): Candidate? {
            val ownerWaitUntil = now() + OWNER_WAIT_MS
            while (remainingMs() > 0) {
                val candidates = router.candidates(request.adapter, request.version, now())
                candidates.firstOrNull { it.target !in tried }?.let { return it }
                if (candidates.isNotEmpty()) {
                    if (!beginRound()) return null
                } else {
                    if (now() >= ownerWaitUntil) return null
                    delay(OWNER_POLL_MS)
                }
            }
            return null
        }

        private suspend fun beginRound(): Boolean {
            if (last?.outcome != DispatchEnd.Outcome.Unknown && last?.reason !in passingReasons || round >= ROUNDS) return false
            delay(ROUND_PAUSE_MS * round++)
            tried.clear()
            return true
        }

        private suspend fun attempt(candidate: Candidate): DispatchEnd {
            session.beginAttempt()
            router.sent(candidate.target)
            val sent = request.copy(target = candidate.target, deadlineMs = remainingMs(), resumeFrom = session.tokens)
            val events = if (candidate.owner == self) owner.run(sent) else network.dispatch(candidate.owner, sent)
            // The owner keeps the deadline too; this one holds when the owner is silent.
            return withTimeoutOrNull(remainingMs() + DEADLINE_GRACE_MS) { endOf(candidate, events) }
                ?: unknownEnd("deadline", "instance ${candidate.owner} did not end the request in time")
        }

        private suspend fun endOf(
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
                        "an attempt failed in an unexpected way"
                    }
                    emit(DispatchEvent.End(unknownEnd("internal-error", failure.message)))
                }.firstOrNull { event -> session.handle(event).also { end = it } != null }
            return end ?: unknownEnd("answer-incomplete", "the attempt ended without a result")
        }

        /** Ends the request without success. It is `not-run` only when every attempt was. */
        private fun failure(reason: String): DispatchEnd {
            val detail = listOfNotNull(last?.reason, last?.detail, "gave up: $reason").joinToString("; ")
            val isRun = hasUnknown || session.isStarted
            return if (isRun) unknownEnd(last?.reason ?: reason, detail) else notRun(last?.reason ?: reason, detail, last?.retryAfterMs)
        }
    }
}
