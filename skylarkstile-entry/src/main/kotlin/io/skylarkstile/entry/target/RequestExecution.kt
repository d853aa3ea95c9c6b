/*
 * Execution of one model request at the owner of its target: waits for a start, sends the request, relays the answer, releases the adapter.
 */
package io.skylarkstile.entry.target

import com.github.michaelbull.result.fold
import io.skylarkstile.core.dispatch.DispatchEvent
import io.skylarkstile.schema.generated.Dispatch
import io.skylarkstile.schema.generated.DispatchEnd
import io.skylarkstile.transport.http.HttpFailure
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.channelFlow
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull

/** After a restart an engine refuses requests for the adapters it had; they wait here for the load instead of trying another target. */
private const val MAX_ATTEMPTS = 3

/** Time for a running call to end by itself after a restart of the engine. */
private const val RESTART_GRACE_MS = 300L

/** Runs [request] on [target]; the flow ends with [DispatchEvent.End] unless its collector is cancelled. */
internal fun runOn(
    target: OwnedTarget,
    control: EngineControl,
    request: Dispatch,
    env: TargetEnv,
): Flow<DispatchEvent> = channelFlow {
    val startedAt = env.now()
    var attempts = 0
    var end: DispatchEnd
    do {
        val remainingMs = request.deadlineMs - (env.now() - startedAt)
        end = RequestExecution(target, request.copy(deadlineMs = remainingMs), env) { send(it) }.run(control)
    } while (end.reason == ADAPTER_MISSING && ++attempts < MAX_ATTEMPTS)
    send(DispatchEvent.End(end))
}.buffer(Channel.RENDEZVOUS)

private class RequestExecution(
    private val target: OwnedTarget,
    private val request: Dispatch,
    private val env: TargetEnv,
    private val emit: suspend (DispatchEvent) -> Unit,
) {
    private val task = RequestTask(request, env.now())
    private var tokens = 0

    private var engineBootId: String? = null

    /** Whether the engine runs no part of the request. */
    private var isFinishedAtEngine = true

    suspend fun run(control: EngineControl): DispatchEnd {
        if (!env.maySend(target.resource, target.epoch)) return notRun("not-owner")
        return try {
            target.submit(task) ?: awaitStart(control)
        } finally {
            target.finish(task, isFinishedAtEngine, tokens)
            control.wakeUp()
        }
    }

    private suspend fun awaitStart(control: EngineControl): DispatchEnd {
        control.wakeUp()
        val decision = withTimeoutOrNull(request.deadlineMs) { task.decision.await() }
        return when (decision) {
            null -> notRun("deadline", "target ${target.name}")
            is SchedulingDecision.Refuse -> decision.end
            is SchedulingDecision.Start -> sendUntilAborted(decision)
        }
    }

    private suspend fun sendUntilAborted(start: SchedulingDecision.Start): DispatchEnd = coroutineScope {
        val answer = async { sendAndRelay(start) }
        val remainingMs = request.deadlineMs - (env.now() - task.arrivedAt)
        val end =
            withTimeoutOrNull(remainingMs) {
                select {
                    answer.onAwait { it }
                    task.abortReason.onAwait { reason -> endAfterAbort(answer, reason) }
                }
            }
        answer.cancelAndJoin()
        // Reported only now: a newly observed restart aborts all running requests, and this one may have ended by itself.
        target.onBootId(engineBootId)
        end ?: unknownEnd("deadline", "target ${target.name} did not finish in time")
    }

    /** Waits briefly for the call to end by itself after a restart: it usually does, often as a refusal, which proves that nothing ran. */
    private suspend fun endAfterAbort(
        answer: Deferred<DispatchEnd>,
        reason: String,
    ): DispatchEnd {
        val ownEnd = if (reason == TARGET_RESTARTED) withTimeoutOrNull(RESTART_GRACE_MS) { answer.await() } else null
        return ownEnd ?: unknownEnd(reason, "target ${target.name}")
    }

    private suspend fun sendAndRelay(start: SchedulingDecision.Start): DispatchEnd {
        isFinishedAtEngine = false
        return target.engine.complete(request, start.handle, env.settings.idleTimeoutMs.toLong()).fold(
            success = { answer ->
                engineBootId = answer.headers[BOOT_HEADER]
                val relay = AnswerRelay(request, start.handle, emit)
                try {
                    relay.relay(answer).also { onAnswerEnded(it, start) }
                } finally {
                    tokens = relay.tokens
                }
            },
            failure = { failedEnd(it) },
        )
    }

    private fun onAnswerEnded(
        end: DispatchEnd,
        start: SchedulingDecision.Start,
    ) {
        isFinishedAtEngine = end.outcome != DispatchEnd.Outcome.Unknown
        if (end.reason == ADAPTER_MISSING) target.onHandleMissing(start.handle)
    }

    private fun failedEnd(failure: HttpFailure): DispatchEnd = when (failure) {
        is HttpFailure.NotSent -> {
            isFinishedAtEngine = true
            val isOwner = env.maySend(target.resource, target.epoch)
            notRun(if (isOwner) "target-unreachable" else "not-owner", failure.detail)
        }

        is HttpFailure.NoAnswer -> {
            unknownEnd("target-no-answer", failure.detail)
        }
    }
}
