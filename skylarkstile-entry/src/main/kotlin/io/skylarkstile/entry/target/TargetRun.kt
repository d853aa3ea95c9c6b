/*
 * The course of one model request at its target's owner: wait, send, pass the answer on, release the adapter.
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

/** An engine that has just restarted refuses requests for the adapters it had; they wait here for the load instead of going elsewhere. */
private const val MAX_ATTEMPTS = 3
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
        end = TargetRun(target, request.copy(deadlineMs = remainingMs), env) { send(it) }.run(control)
    } while (end.reason == ADAPTER_MISSING && ++attempts < MAX_ATTEMPTS)
    send(DispatchEvent.End(end))
}.buffer(Channel.RENDEZVOUS)

private class TargetRun(
    private val target: OwnedTarget,
    private val request: Dispatch,
    private val env: TargetEnv,
    private val emit: suspend (DispatchEvent) -> Unit,
) {
    private val work = Work(request, env.now())
    private var tokens = 0

    private var bootSeen: String? = null

    /** Whether the engine runs nothing of the request. */
    private var isComplete = true

    suspend fun run(control: EngineControl): DispatchEnd {
        if (!env.maySend(target.resource, target.epoch)) return notRun("not-owner")
        return try {
            target.submit(work) ?: awaitStart(control)
        } finally {
            target.finish(work, isComplete, tokens)
            control.kick()
        }
    }

    private suspend fun awaitStart(control: EngineControl): DispatchEnd {
        control.kick()
        val decision = withTimeoutOrNull(request.deadlineMs) { work.decision.await() }
        return when (decision) {
            null -> notRun("deadline", "target ${target.name}")
            is Decision.Refuse -> decision.end
            is Decision.Start -> sendUntilAborted(decision)
        }
    }

    private suspend fun sendUntilAborted(start: Decision.Start): DispatchEnd = coroutineScope {
        val answer = async { sendAndRelay(start) }
        val remainingMs = request.deadlineMs - (env.now() - work.arrivedAt)
        val end =
            withTimeoutOrNull(remainingMs) {
                select {
                    answer.onAwait { it }
                    work.aborted.onAwait { reason -> endAfterAbort(answer, reason) }
                }
            }
        answer.cancelAndJoin()
        // Reported only now, because a restart gives up all running requests, and this one may have ended by itself.
        target.bootSeen(bootSeen)
        end ?: unknownEnd("deadline", "target ${target.name} did not finish in time")
    }

    /** After a restart the call mostly ends by itself, often as a refusal of which nothing ran, so it gets a moment to say so. */
    private suspend fun endAfterAbort(
        answer: Deferred<DispatchEnd>,
        reason: String,
    ): DispatchEnd {
        val own = if (reason == TARGET_RESTARTED) withTimeoutOrNull(RESTART_GRACE_MS) { answer.await() } else null
        return own ?: unknownEnd(reason, "target ${target.name}")
    }

    private suspend fun sendAndRelay(start: Decision.Start): DispatchEnd {
        isComplete = false
        return target.engine.complete(request, start.handle, env.settings.idleTimeoutMs.toLong()).fold(
            success = { answer ->
                bootSeen = answer.headers[BOOT_HEADER]
                val relay = AnswerRelay(request, start.handle, emit)
                try {
                    relay.relay(answer).also { ended(it, start) }
                } finally {
                    tokens = relay.tokens
                }
            },
            failure = { failedEnd(it) },
        )
    }

    private fun ended(
        end: DispatchEnd,
        start: Decision.Start,
    ) {
        isComplete = end.outcome != DispatchEnd.Outcome.Unknown
        if (end.reason == ADAPTER_MISSING) target.handleMissing(start.handle)
    }

    private fun failedEnd(failure: HttpFailure): DispatchEnd = when (failure) {
        is HttpFailure.NotSent -> {
            isComplete = true
            val isOwner = env.maySend(target.resource, target.epoch)
            notRun(if (isOwner) "target-unreachable" else "not-owner", failure.detail)
        }

        is HttpFailure.NoAnswer -> {
            unknownEnd("target-no-answer", failure.detail)
        }
    }
}
