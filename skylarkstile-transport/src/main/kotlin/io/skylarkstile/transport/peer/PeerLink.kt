/*
 * One open TCP connection between two instances: framing, reader, writer and detection of silence. A failure closes only
 * this link.
 */
package io.skylarkstile.transport.peer

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import io.skylarkstile.schema.generated.Envelope
import io.skylarkstile.schema.generated.Ping
import io.skylarkstile.schema.peerCbor
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.serialization.KSerializer
import java.io.IOException

/** Signals that the other side violated the protocol or stopped sending; the link is then closed. */
internal class LinkException(
    message: String,
    cause: Throwable? = null,
) : IOException(message, cause)

/** Decodes [bytes] or throws a [LinkException]. */
internal fun <T> decodeOrThrow(
    serializer: KSerializer<T>,
    bytes: ByteArray,
): T = try {
    peerCbor.decodeFromByteArray(serializer, bytes)
} catch (e: Exception) {
    // The CBOR decoder throws several exception classes on malformed input, among them IndexOutOfBoundsException.
    throw LinkException("malformed CBOR for ${serializer.descriptor.serialName}: ${e.message}", e)
}

/** Reads and writes frames on [socket]. [sendsPings] is set on the connecting side. */
internal class PeerLink(
    private val socket: Socket,
    private val options: PeerOptions,
    private val sendsPings: Boolean,
) {
    private val input: ByteReadChannel = socket.openReadChannel()
    private val output: ByteWriteChannel = socket.openWriteChannel(autoFlush = false)
    private val endReason = CompletableDeferred<String>()
    val queue = FrameQueue(options.queueFrames)

    @Volatile
    var lastReceived: Long = options.now()
        private set

    @Volatile
    private var lastSent: Long = options.now()

    /** Ends the link; only the [reason] of the first call is kept. */
    fun close(reason: String) {
        endReason.complete(reason)
    }

    /** Reads one frame. */
    suspend fun read(): Envelope {
        val size = input.readInt()
        if (size !in 1..options.maxFrameBytes) throw LinkException("frame of $size bytes, limit ${options.maxFrameBytes}")
        val bytes = input.readByteArray(size)
        lastReceived = options.now()
        return decodeOrThrow(Envelope.serializer(), bytes)
    }

    /** Writes [frame] without flushing. */
    private suspend fun write(frame: Frame) {
        output.writeInt(frame.bytes.size)
        output.writeByteArray(frame.bytes)
    }

    /** Writes and flushes [frame]; used for the handshake only. */
    suspend fun writeNow(frame: Frame) {
        write(frame)
        output.flush()
    }

    /** Runs the link until it ends and returns the reason. [handle] is called for each frame in order and must not wait for the peer. */
    suspend fun run(handle: suspend CoroutineScope.(Envelope) -> Unit): String = try {
        coroutineScope {
            val scope = this
            launch { closeOnFailure("reading") { readAll { handle(scope, it) } } }
            launch { closeOnFailure("writing") { writeAll() } }
            launch { closeOnFailure("watching") { detectSilence() } }
            endReason.await().also {
                closeSocket()
                coroutineContext.cancelChildren()
            }
        }
    } finally {
        closeSocket()
    }

    /** Closes the socket and the queue, so that no more frames are accepted. */
    fun closeSocket() {
        queue.close()
        socket.close()
    }

    private suspend fun closeOnFailure(
        activity: String,
        block: suspend () -> Unit,
    ) {
        try {
            block()
        } catch (e: CancellationException) {
            currentCoroutineContext().ensureActive()
            close("$activity: ${e.message}")
        } catch (e: Exception) {
            close("$activity: ${e.message ?: e::class.simpleName}")
        }
    }

    private suspend fun readAll(handle: suspend (Envelope) -> Unit) {
        while (true) {
            val envelope = read()
            if (envelope.kind != MessageKinds.ping.name) {
                handle(envelope)
            } else if (!sendsPings) {
                queue.offer(frame(MessageKinds.ping, 0, decodeOrThrow(Ping.serializer(), envelope.body)))
            }
        }
    }

    private suspend fun writeAll() {
        while (true) {
            var next: Frame? = queue.take() ?: return
            while (next != null) {
                if (next.startWriting()) write(next)
                next = queue.pollOrNull()
            }
            output.flush()
            lastSent = options.now()
        }
    }

    /** Ends the link when nothing has arrived for too long, also because this process was paused; the connecting side then reconnects. */
    private suspend fun detectSilence() {
        // The accepting side waits one heartbeat longer, since the connecting side sends its first ping only after one idle interval.
        val limitMs = if (sendsPings) options.silenceMs else options.silenceMs + options.heartbeatMs
        var sequence = 0L
        while (true) {
            delay(options.heartbeatMs / 2)
            val now = options.now()
            val silentMs = now - lastReceived
            if (silentMs >= limitMs) throw LinkException("silent for $silentMs ms")
            val idleMs = minOf(lastSent, lastReceived).let { now - it }
            if (sendsPings && idleMs >= options.heartbeatMs) queue.offer(frame(MessageKinds.ping, 0, Ping(++sequence)))
        }
    }
}
