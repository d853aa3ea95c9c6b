/*
 * Queue of outgoing frames of one link. Urgent frames are sent first, so that streams do not delay heartbeats.
 */
package io.skylarkstile.transport.peer

import io.skylarkstile.schema.generated.Envelope
import io.skylarkstile.schema.peerCbor
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ChannelResult
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.selects.select
import java.util.concurrent.atomic.AtomicReference

/** Holds an encoded envelope, which is either written once or dropped before writing. */
internal class Frame(
    val kind: String,
    val bytes: ByteArray,
) {
    private enum class State { Queued, Writing, Dropped }

    private val state = AtomicReference(State.Queued)

    /** Marks the frame as being written; returns `false` when it was dropped or claimed before. */
    fun startWriting(): Boolean = state.compareAndSet(State.Queued, State.Writing)

    /** Drops the frame; returns `false` when writing has begun. */
    fun drop(): Boolean = state.compareAndSet(State.Queued, State.Dropped) || state.get() == State.Dropped
}

/** Encodes [message] as a frame of [kind]. */
internal fun <T> frame(
    kind: MessageKind<T>,
    id: Long,
    message: T,
): Frame {
    val body = peerCbor.encodeToByteArray(kind.serializer, message)
    return Frame(kind.name, peerCbor.encodeToByteArray(Envelope.serializer(), Envelope(kind.name, id, body)))
}

/** Holds up to [limit] urgent and [limit] other frames. */
internal class FrameQueue(
    limit: Int,
) {
    private val urgent = Channel<Frame>(limit)
    private val bulk = Channel<Frame>(limit)

    private fun channelOf(frame: Frame) = if (frame.kind in MessageKinds.urgent) urgent else bulk

    /** Queues [frame]; returns `false` when the queue is full or closed. */
    fun offer(frame: Frame): Boolean = channelOf(frame).trySend(frame).isSuccess

    /** Queues [frame], suspending while the queue is full; does nothing once the queue is closed. */
    suspend fun put(frame: Frame) {
        try {
            channelOf(frame).send(frame)
        } catch (_: ClosedSendChannelException) {
            return
        }
    }

    /** Returns the next frame, suspending until there is one, or `null` once the queue is closed. */
    suspend fun take(): Frame? = pollOrNull() ?: select<ChannelResult<Frame>> {
        urgent.onReceiveCatching { it }
        bulk.onReceiveCatching { it }
    }.getOrNull()

    /** Returns the next frame if there is one. */
    fun pollOrNull(): Frame? = urgent.tryReceive().getOrNull() ?: bulk.tryReceive().getOrNull()

    fun close() {
        urgent.close()
        bulk.close()
    }
}
