/*
 * Connecting side of one link: calls that wait for responses and forwarded requests whose responses are in progress.
 */
package io.skylarkstile.transport.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import io.skylarkstile.core.dispatch.DispatchEvent
import io.skylarkstile.schema.generated.CallError
import io.skylarkstile.schema.generated.Dispatch
import io.skylarkstile.schema.generated.DispatchCancel
import io.skylarkstile.schema.generated.DispatchCredit
import io.skylarkstile.schema.generated.DispatchEnd
import io.skylarkstile.schema.generated.Envelope
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Bytes counted for each chunk in addition to its data, so that many tiny chunks also use up the window. */
internal const val CHUNK_OVERHEAD_BYTES = 64

/** Returns the number of bytes of the stream window that a chunk uses. */
internal fun windowCost(data: ByteArray): Int = data.size + CHUNK_OVERHEAD_BYTES

/** Creates the end event of a request that was not run or whose outcome is unknown because of the link. */
internal fun linkFailureEnd(
    outcome: DispatchEnd.Outcome,
    detail: String,
) = DispatchEvent.End(DispatchEnd(outcome = outcome, reason = "peer-link", detail = detail))

/** Runs calls and forwarded requests over [link]. */
internal class DialledSession(
    private val peer: String,
    private val link: PeerLink,
    private val options: PeerOptions,
) {
    private sealed interface PendingRequest {
        val frame: Frame
    }

    private class Call(
        override val frame: Frame,
    ) : PendingRequest {
        val answer = CompletableDeferred<Result<Envelope, PeerError>>()
    }

    private class Stream(
        override val frame: Frame,
    ) : PendingRequest {
        /** Unlimited, but holds at most one window of chunks, since the other side sends no more without credit. */
        val events = Channel<DispatchEvent>(Channel.UNLIMITED)
        val outstanding = AtomicLong()
    }

    private val pendingRequests = ConcurrentHashMap<Long, PendingRequest>()
    private val ids = AtomicLong()

    fun running(): Int = pendingRequests.size

    /** Handles one frame from the other side. */
    fun handle(envelope: Envelope) {
        when (val pending = pendingRequests[envelope.id]) {
            // The call has timed out or the stream was cancelled.
            null -> Unit

            is Call -> {
                pending.answer.complete(Ok(envelope))
            }

            is Stream -> {
                val event = eventOf(envelope)
                if (event is DispatchEvent.Chunk) countOutstanding(pending, event)
                pending.events.trySend(event)
            }
        }
    }

    private fun eventOf(envelope: Envelope): DispatchEvent = when (envelope.kind) {
        MessageKinds.dispatchHead.name ->
            expect(
                MessageKinds.dispatchHead,
                envelope,
            ).let { DispatchEvent.Head(it.status, it.contentType) }
        MessageKinds.dispatchChunk.name -> DispatchEvent.Chunk(expect(MessageKinds.dispatchChunk, envelope).data)
        MessageKinds.dispatchEnd.name -> DispatchEvent.End(expect(MessageKinds.dispatchEnd, envelope))
        else -> throw LinkException("unexpected ${envelope.kind} in the response to a forwarded request")
    }

    private fun countOutstanding(
        stream: Stream,
        chunk: DispatchEvent.Chunk,
    ) {
        val limit = options.streamWindowBytes + options.maxFrameBytes
        if (stream.outstanding.addAndGet(windowCost(chunk.data).toLong()) > limit) throw LinkException("a stream exceeded its window")
    }

    private fun enqueue(
        id: Long,
        entry: PendingRequest,
    ): PeerError? {
        val size = entry.frame.bytes.size
        if (size > options.maxFrameBytes) return PeerError.NotSent("message of $size bytes, limit ${options.maxFrameBytes}")
        pendingRequests[id] = entry
        if (link.queue.offer(entry.frame)) return null
        pendingRequests.remove(id)
        return PeerError.NotSent("the queue of the link to $peer is full or closed")
    }

    suspend fun <Q, A> call(
        kind: MessageKind<Q>,
        message: Q,
        answer: MessageKind<A>,
        timeoutMs: Long,
    ): Result<A, PeerError> {
        val id = ids.incrementAndGet()
        val call = Call(frame(kind, id, message))
        enqueue(id, call)?.let { return Err(it) }
        try {
            val result = withTimeoutOrNull(timeoutMs) { call.answer.await() }
            if (result == null) return Err(failure(call, "no response from $peer to ${kind.name} within $timeoutMs ms"))
            return result.andThen { decodeAnswer(it, answer) }
        } finally {
            pendingRequests.remove(id)
            call.frame.drop()
        }
    }

    private fun <A> decodeAnswer(
        envelope: Envelope,
        answer: MessageKind<A>,
    ): Result<A, PeerError> = try {
        if (envelope.kind == MessageKinds.callError.name) {
            val error: CallError = expect(MessageKinds.callError, envelope)
            Err(PeerError.NoAnswer("$peer: ${error.detail}"))
        } else {
            Ok(expect(answer, envelope))
        }
    } catch (e: LinkException) {
        link.close(e.message.orEmpty())
        Err(PeerError.NoAnswer(e.message.orEmpty()))
    }

    private fun failure(
        entry: PendingRequest,
        detail: String,
    ): PeerError = if (entry.frame.drop()) PeerError.NotSent(detail) else PeerError.NoAnswer(detail)

    /** Queues a one-way message. */
    fun <T> send(
        kind: MessageKind<T>,
        message: T,
    ): Result<Unit, PeerError> {
        val frame = frame(kind, 0, message)
        return when {
            frame.bytes.size > options.maxFrameBytes -> Err(PeerError.NotSent("message of ${frame.bytes.size} bytes exceeds the limit"))
            link.queue.offer(frame) -> Ok(Unit)
            else -> Err(PeerError.NotSent("the queue of the link to $peer is full or closed"))
        }
    }

    /** Runs [request] on the other side. */
    fun dispatch(request: Dispatch): Flow<DispatchEvent> = flow {
        val id = ids.incrementAndGet()
        val stream = Stream(frame(MessageKinds.dispatch, id, request))
        val error = enqueue(id, stream)
        if (error != null) {
            emit(linkFailureEnd(DispatchEnd.Outcome.NotRun, error.toString()))
            return@flow
        }
        var ended = false
        try {
            while (!ended) {
                val event = stream.events.receive()
                ended = event is DispatchEvent.End
                emit(event)
                if (event is DispatchEvent.Chunk) giveCredit(id, stream, windowCost(event.data))
            }
        } finally {
            pendingRequests.remove(id)
            if (!ended && !stream.frame.drop()) cancelRemote(id)
        }
    }

    private fun giveCredit(
        id: Long,
        stream: Stream,
        bytes: Int,
    ) {
        stream.outstanding.addAndGet(-bytes.toLong())
        val credit = frame(MessageKinds.dispatchCredit, id, DispatchCredit(bytes))
        if (!link.queue.offer(credit)) link.close("no space for credit in the queue of the link to $peer")
    }

    private fun cancelRemote(id: Long) {
        val cancel = frame(MessageKinds.dispatchCancel, id, DispatchCancel("the caller is gone"))
        if (!link.queue.offer(cancel)) link.close("no space for a cancellation in the queue of the link to $peer")
    }

    /** Fails all pending calls and streams after the writer has stopped. */
    fun failPending(reason: String) {
        for (id in pendingRequests.keys) {
            val entry = pendingRequests.remove(id) ?: continue
            val detail = "link to $peer ended: $reason"
            when (entry) {
                is Call -> entry.answer.complete(Err(failure(entry, detail)))
                is Stream -> entry.events.trySend(linkFailureEnd(outcomeOf(entry), detail))
            }
        }
    }

    private fun outcomeOf(stream: Stream) = if (stream.frame.drop()) DispatchEnd.Outcome.NotRun else DispatchEnd.Outcome.Unknown
}
