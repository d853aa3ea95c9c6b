/*
 * Accepting side of one link: answers calls, delivers one-way messages and runs forwarded requests.
 */
package io.skylarkstile.transport.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.core.dispatch.DispatchEvent
import io.skylarkstile.schema.generated.CallError
import io.skylarkstile.schema.generated.Dispatch
import io.skylarkstile.schema.generated.DispatchChunk
import io.skylarkstile.schema.generated.DispatchEnd
import io.skylarkstile.schema.generated.DispatchHead
import io.skylarkstile.schema.generated.Envelope
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.takeWhile
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

private val log = KotlinLogging.logger {}

/** Holds the registered handlers of one process. */
internal class MessageHandlers {
    val calls = ConcurrentHashMap<String, suspend (from: String, id: Long, body: ByteArray) -> Frame>()
    val receivers = ConcurrentHashMap<String, (from: String, body: ByteArray) -> Unit>()

    @Volatile
    var runner: ((from: String, request: Dispatch) -> Flow<DispatchEvent>)? = null
}

/** Flow control window: the number of bytes that one stream may still send. */
private class SendWindow(
    bytes: Int,
) {
    private val availableBytes = MutableStateFlow(bytes.toLong())

    fun addCredit(bytes: Int) = availableBytes.update { it + bytes }

    /** Suspends until the window is open, then acquires [bytes]; a single chunk may exceed the window. */
    suspend fun acquire(bytes: Int) {
        availableBytes.first { it > 0 }
        availableBytes.update { it - bytes }
    }
}

/** Handles the frames that [from] sends over [link]. */
internal class AcceptedSession(
    private val from: String,
    private val link: PeerLink,
    private val handlers: MessageHandlers,
    private val options: PeerOptions,
) {
    private class RunningStream(
        val window: SendWindow,
    ) {
        var job: Job? = null
    }

    private val streams = ConcurrentHashMap<Long, RunningStream>()
    private val calls = ConcurrentHashMap<Long, Job>()

    fun running(): Int = streams.size + calls.size

    /** Handles one frame; calls and forwarded requests run in [scope]. */
    fun handle(
        scope: CoroutineScope,
        envelope: Envelope,
    ) = when {
        envelope.kind == MessageKinds.dispatch.name -> startStream(scope, envelope)

        envelope.kind == MessageKinds.dispatchCredit.name -> {
            val credit = expect(MessageKinds.dispatchCredit, envelope)
            streams[envelope.id]?.window?.addCredit(credit.bytes)
            Unit
        }

        envelope.kind == MessageKinds.dispatchCancel.name -> {
            streams.remove(envelope.id)?.job?.cancel()
            Unit
        }

        envelope.id == 0L -> receive(envelope)

        else -> startCall(scope, envelope)
    }

    private fun receive(envelope: Envelope) {
        val receiver = handlers.receivers[envelope.kind]
        if (receiver == null) {
            // A newer release may send one-way messages that this release does not know.
            log.event(
                Level.DEBUG,
                "message-unknown",
                "kind" to envelope.kind,
                "peer" to from,
            ) { "no handler for messages of kind ${envelope.kind}" }
            return
        }
        receiver(from, envelope.body)
    }

    private fun startCall(
        scope: CoroutineScope,
        envelope: Envelope,
    ) {
        val handler = handlers.calls[envelope.kind]
        if (handler == null && envelope.kind !in MessageKinds.calls) throw LinkException("call of unknown kind ${envelope.kind}")
        if (handler == null || calls.size >= options.queueFrames) {
            val detail = if (handler == null) "no handler for ${envelope.kind} is registered yet" else "too many calls are running"
            link.queue.offer(frame(MessageKinds.callError, envelope.id, CallError(detail)))
            return
        }
        val job = scope.launch { link.queue.put(answerOrError(envelope, handler)) }
        calls[envelope.id] = job
        job.invokeOnCompletion { calls.remove(envelope.id) }
    }

    private suspend fun answerOrError(
        envelope: Envelope,
        handler: suspend (String, Long, ByteArray) -> Frame,
    ): Frame = try {
        val answer = handler(from, envelope.id, envelope.body)
        if (answer.bytes.size <= options.maxFrameBytes) answer else error("response of ${answer.bytes.size} bytes exceeds the frame limit")
    } catch (e: LinkException) {
        link.close(e.message.orEmpty())
        throw CancellationException(e.message)
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        log.event(
            Level.WARN,
            "peer-call-failed",
            "kind" to envelope.kind,
            "peer" to from,
            cause = e,
        ) { "handling a ${envelope.kind} call failed" }
        frame(MessageKinds.callError, envelope.id, CallError(e.message ?: e::class.java.simpleName))
    }

    private fun startStream(
        scope: CoroutineScope,
        envelope: Envelope,
    ) {
        val request = expect(MessageKinds.dispatch, envelope)
        val id = envelope.id
        val runner = handlers.runner
        if (runner == null || streams.size >= options.queueFrames) {
            val detail = if (runner == null) "no handler for forwarded requests is registered yet" else "too many requests are running"
            scope.launch { put(id, DispatchEnd(outcome = DispatchEnd.Outcome.NotRun, reason = "peer-busy", detail = detail)) }
            return
        }
        val running = RunningStream(SendWindow(options.streamWindowBytes))
        streams[id] = running
        val job = scope.launch { put(id, runStream(id, running.window, runner, request)) }
        running.job = job
        job.invokeOnCompletion { streams.remove(id) }
    }

    private suspend fun put(
        id: Long,
        end: DispatchEnd,
    ) = link.queue.put(frame(MessageKinds.dispatchEnd, id, end))

    private suspend fun runStream(
        id: Long,
        window: SendWindow,
        runner: (String, Dispatch) -> Flow<DispatchEvent>,
        request: Dispatch,
    ): DispatchEnd {
        var end: DispatchEnd? = null
        try {
            var isSplit = false
            runner(from, request)
                .takeWhile { event ->
                    if (event is DispatchEvent.End) end = event.end
                    event !is DispatchEvent.End
                }.collect { event ->
                    if (event is DispatchEvent.Head) isSplit = !event.contentType.startsWith("text/event-stream")
                    sendEvent(id, window, event, isSplit)
                }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.event(Level.WARN, "forwarded-request-failed", "peer" to from, cause = e) { "a request forwarded by $from failed" }
            end = DispatchEnd(outcome = DispatchEnd.Outcome.Unknown, reason = "peer-failure", detail = e.message)
        }
        return end ?: DispatchEnd(outcome = DispatchEnd.Outcome.Unknown, reason = "peer-failure", detail = "the response has no end")
    }

    private suspend fun sendEvent(
        id: Long,
        window: SendWindow,
        event: DispatchEvent,
        isSplit: Boolean,
    ) {
        when (event) {
            is DispatchEvent.Head -> {
                link.queue.put(frame(MessageKinds.dispatchHead, id, DispatchHead(event.status, event.contentType)))
            }

            is DispatchEvent.Chunk -> {
                parts(event.data, isSplit).forEach { sendChunk(id, window, it) }
            }

            is DispatchEvent.End -> {
                Unit
            }
        }
    }

    /** Splits a body into parts of a quarter window; server-sent events are not split. */
    private fun parts(
        data: ByteArray,
        isSplit: Boolean,
    ): List<ByteArray> {
        val size = options.streamWindowBytes / 4
        if (!isSplit || data.size <= size) return listOf(data)
        return (data.indices step size).map { data.copyOfRange(it, minOf(it + size, data.size)) }
    }

    private suspend fun sendChunk(
        id: Long,
        window: SendWindow,
        data: ByteArray,
    ) {
        val chunk = frame(MessageKinds.dispatchChunk, id, DispatchChunk(data))
        if (chunk.bytes.size > options.maxFrameBytes) error("an event of ${data.size} bytes does not fit into a frame")
        window.acquire(windowCost(data))
        link.queue.put(chunk)
    }
}
