/*
 * Handles completion requests: resolves the model, admits the request, runs it and forwards the response.
 */
package io.skylarkstile.entry.front

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.core.dispatch.DispatchEvent
import io.skylarkstile.core.limit.Admission
import io.skylarkstile.core.limit.AdmissionLimiter
import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.schema.generated.Dispatch
import io.skylarkstile.schema.generated.DispatchEnd
import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.headersOf
import io.skylarkstile.transport.http.wholeAnswer
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.catch
import kotlinx.coroutines.flow.channelFlow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.produceIn
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import java.io.ByteArrayOutputStream

private val log = KotlinLogging.logger {}

/** Settings of [ModelCalls]; times in milliseconds. */
internal data class ModelCallSettings(
    val defaultMaxTokens: Int,
    val requestTimeoutMs: Long,
)

internal class ModelCalls(
    private val limiter: AdmissionLimiter,
    private val runner: ModelRunner,
    private val running: RunningCalls,
    private val metrics: FrontMetrics,
    private val settings: ModelCallSettings,
    private val clock: () -> Long,
) {
    private val largeBodyPermits = Semaphore(MAX_CONCURRENT_LARGE_BODIES)

    suspend fun answer(
        request: HttpRequest,
        ids: RequestIds,
        caller: Caller,
        snapshot: Snapshot,
    ): HttpAnswer {
        val body =
            parse(request.body, ids.requestId.hashCode() and Int.MAX_VALUE)
                .getOrElse { return badRequest(it).toHttpAnswer(ids.requestId) }
        val model =
            snapshot.resolveModelOrNull(body.model, caller.workspaceOrNull)
                ?: return if (caller is Caller.Anonymous) {
                    unauthorized().toHttpAnswer(
                        ids.requestId,
                    )
                } else {
                    unknownModel(body.model).toHttpAnswer(ids.requestId)
                }
        val admitted =
            when (val admission = limiter.admit(model.workspace, body.maxTokens)) {
                is Admission.Refused ->
                    return admission
                        .toProblem()
                        .also {
                            metrics.countRefusal(model.workspace, admission.reason)
                        }.toHttpAnswer(ids.requestId)
                is Admission.Admitted -> admission
            }
        val weight = snapshot.workspaces[model.workspace]?.weight ?: 1.0
        return run(dispatch(request, ids, body, model, weight), ids, caller, model, admitted)
    }

    private suspend fun parse(
        body: ByteArray,
        seed: Int,
    ): Result<CompletionBody, String> = if (body.size <= MAX_SMALL_BODY_BYTES) {
        parseCompletion(body, settings.defaultMaxTokens, seed)
    } else {
        largeBodyPermits.withPermit { parseCompletion(body, settings.defaultMaxTokens, seed) }
    }

    private fun dispatch(
        request: HttpRequest,
        ids: RequestIds,
        body: CompletionBody,
        model: ResolvedModel,
        weight: Double,
    ) = Dispatch(
        requestId = ids.requestId,
        target = "",
        workspace = model.workspace,
        weight = weight,
        adapter = model.adapter,
        version = model.version,
        loraPath = model.path,
        path = request.path,
        body = body.body,
        stream = body.stream,
        deadlineMs = settings.requestTimeoutMs,
        resumeFrom = 0,
        traceparent = ids.traceparent,
    )

    private suspend fun run(
        dispatch: Dispatch,
        ids: RequestIds,
        caller: Caller,
        model: ResolvedModel,
        admitted: Admission.Admitted,
    ): HttpAnswer {
        val call =
            running.begin(
                (caller as? Caller.Authenticated)?.keyId,
                (caller as? Caller.Authenticated)?.workspace ?: model.workspace,
                clock(),
            )
        val settlement = CallSettlement(admitted, call)
        val context = currentCoroutineContext()
        // The request's job ends when the response is written or the caller disconnects, so no tokens stay reserved after either.
        context[Job]?.invokeOnCompletion { settlement.finish(null) }
        val events =
            runner
                .run(dispatch)
                .failureAsEndEvent()
                .endEarlyOn(call.endSignal)
                .produceIn(CoroutineScope(context))
        val first = events.receiveOrEnd()
        return when (first) {
            is DispatchEvent.End -> {
                settlement.finish(first.end)
                events.cancel()
                first.end.toProblem().toHttpAnswer(ids.requestId)
            }
            is DispatchEvent.Head if dispatch.stream && first.status == OK -> streamedAnswer(first, events, settlement, ids)
            else -> bufferedAnswer(first as DispatchEvent.Head, events, settlement, ids)
        }
    }

    private fun streamedAnswer(
        head: DispatchEvent.Head,
        events: ReceiveChannel<DispatchEvent>,
        settlement: CallSettlement,
        ids: RequestIds,
    ): HttpAnswer = HttpAnswer(
        head.status,
        headersOf("content-type" to head.contentType, "cache-control" to "no-cache"),
        flow {
            try {
                while (true) {
                    when (val event = events.receiveOrEnd()) {
                        is DispatchEvent.Head -> Unit
                        is DispatchEvent.Chunk -> {
                            settlement.tokens.countEvents(event.data)
                            emit(event.data)
                        }
                        is DispatchEvent.End -> {
                            settlement.finish(event.end)
                            if (event.end.outcome != DispatchEnd.Outcome.Done) emit(event.end.toProblem().toErrorEvent(ids.requestId))
                            return@flow
                        }
                    }
                }
            } finally {
                events.cancel()
                settlement.finish(null)
            }
        },
    )

    private suspend fun bufferedAnswer(
        head: DispatchEvent.Head,
        events: ReceiveChannel<DispatchEvent>,
        settlement: CallSettlement,
        ids: RequestIds,
    ): HttpAnswer {
        val body = ByteArrayOutputStream()
        try {
            while (true) {
                when (val event = events.receiveOrEnd()) {
                    is DispatchEvent.Head -> Unit
                    is DispatchEvent.Chunk -> body.write(event.data)
                    is DispatchEvent.End -> {
                        settlement.tokens.countAnswer(body.toByteArray())
                        settlement.finish(event.end)
                        if (event.end.outcome != DispatchEnd.Outcome.Done) return event.end.toProblem().toHttpAnswer(ids.requestId)
                        return wholeAnswer(head.status, head.contentType, body.toByteArray())
                    }
                }
            }
        } finally {
            events.cancel()
            settlement.finish(null)
        }
    }

    /** Settles the reserved tokens and metrics of one call exactly once, however the call ends. */
    private inner class CallSettlement(
        private val admitted: Admission.Admitted,
        private val call: RunningCall,
    ) {
        val tokens = TokenCounter()
        private var isOpen = true

        /** Settles the call with the [end] of its run, or, when [end] is `null`, with the tokens counted so far. */
        @Synchronized
        fun finish(end: DispatchEnd?) {
            if (!isOpen) return
            isOpen = false
            running.end(call)
            if (end?.outcome == DispatchEnd.Outcome.NotRun && tokens.tokens == 0) admitted.cancel() else admitted.settle(tokens.tokens)
            metrics.recordFinished(call.workspace, end?.outcome?.value ?: "cancelled", clock() - call.startedMs, tokens.tokens)
        }
    }

    private companion object {
        const val OK = 200

        /** Maximum number of large bodies parsed at the same time; a parsed body takes many times its size in memory. */
        const val MAX_CONCURRENT_LARGE_BODIES = 2
        const val MAX_SMALL_BODY_BYTES = 16_384
    }
}

/** Converts an exception of the run to an end event, so that the caller receives a problem document. */
private fun Flow<DispatchEvent>.failureAsEndEvent(): Flow<DispatchEvent> = catch { e ->
    log.event(Level.ERROR, "model-request-failed", cause = e) { "a model request failed" }
    emit(DispatchEvent.End(DispatchEnd(DispatchEnd.Outcome.Unknown, reason = "internal-error", detail = "the run failed")))
}

private suspend fun ReceiveChannel<DispatchEvent>.receiveOrEnd(): DispatchEvent = receiveCatching().getOrNull()
    ?: DispatchEvent.End(
        DispatchEnd(DispatchEnd.Outcome.Unknown, reason = "internal-error", detail = "the run ended without an outcome"),
    )

/** Ends the flow early with the problem that [signal] is completed with. */
private fun Flow<DispatchEvent>.endEarlyOn(signal: CompletableDeferred<Problem>): Flow<DispatchEvent> = channelFlow {
    val source = launch { collect { send(it) } }
    val watcher =
        launch {
            val problem = signal.await()
            source.cancel()
            send(DispatchEvent.End(DispatchEnd(DispatchEnd.Outcome.Unknown, reason = problem.code, detail = problem.detail)))
            channel.close()
        }
    source.join()
    if (!signal.isCompleted) watcher.cancel()
}.buffer(Channel.RENDEZVOUS) // Applies backpressure to the target when the caller does not read, instead of filling a queue.

private fun unknownModel(model: String) = notFound("there is no model '${model.take(MAX_ECHOED_CHARS)}' for this key")

private const val MAX_ECHOED_CHARS = 100

internal fun DispatchEnd.toProblem(): Problem {
    val code = reason ?: "target-failed"
    val text = detail ?: "the request ended without a complete answer"
    return when {
        code == "key-withdrawn" -> Problem(401, code, text, Outcome.Unknown)
        outcome == DispatchEnd.Outcome.NotRun -> Problem(503, code, text, Outcome.NotRun, retryAfterMs ?: DEFAULT_RETRY_MS)
        code == "deadline" -> Problem(504, code, text, Outcome.Unknown)
        else -> Problem(502, code, text, Outcome.Unknown)
    }
}

private const val DEFAULT_RETRY_MS = 1_000L
