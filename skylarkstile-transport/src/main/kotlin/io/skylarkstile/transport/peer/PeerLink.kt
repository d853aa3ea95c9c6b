/*
 * One TCP connection after its socket is open: framing, the writer, the reader and the detection of silence. A fault of any kind ends
 * this link only.
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

/** Ends a link because the other side broke the protocol. */
internal class LinkFault(
    message: String,
    cause: Throwable? = null,
) : IOException(message, cause)

/** Decodes [bytes] or throws a [LinkFault]. */
internal fun <T> decodeOrFault(
    serializer: KSerializer<T>,
    bytes: ByteArray,
): T = try {
    peerCbor.decodeFromByteArray(serializer, bytes)
} catch (e: Exception) {
    // The CBOR reader throws several exception classes on broken input, among them IndexOutOfBoundsException.
    throw LinkFault("broken CBOR for ${serializer.descriptor.serialName}: ${e.message}", e)
}

/** Reads and writes frames on [socket]. [pings] is set on the dialling side. */
internal class PeerLink(
    private val socket: Socket,
    private val options: PeerOptions,
    private val pings: Boolean,
) {
    private val input: ByteReadChannel = socket.openReadChannel()
    private val output: ByteWriteChannel = socket.openWriteChannel(autoFlush = false)
    private val end = CompletableDeferred<String>()
    val queue = FrameQueue(options.queueFrames)

    @Volatile
    var lastReceived: Long = options.now()
        private set

    @Volatile
    private var lastSent: Long = options.now()

    /** Ends the link; only the first [reason] counts. */
    fun close(reason: String) {
        end.complete(reason)
    }

    /** Reads one frame. */
    suspend fun read(): Envelope {
        val size = input.readInt()
        if (size !in 1..options.maxFrameBytes) throw LinkFault("frame of $size bytes, limit ${options.maxFrameBytes}")
        val bytes = input.readByteArray(size)
        lastReceived = options.now()
        return decodeOrFault(Envelope.serializer(), bytes)
    }

    /** Writes [frame] without flushing. */
    private suspend fun write(frame: Frame) {
        output.writeInt(frame.bytes.size)
        output.writeByteArray(frame.bytes)
    }

    /** Writes [frame] at once; used for the handshake only. */
    suspend fun writeNow(frame: Frame) {
        write(frame)
        output.flush()
    }

    /** Runs the link until it ends and returns why it ended. [handle] gets each frame in order and must not wait for the other side. */
    suspend fun run(handle: suspend CoroutineScope.(Envelope) -> Unit): String = try {
        coroutineScope {
            val scope = this
            launch { endWith("reading") { readAll { handle(scope, it) } } }
            launch { endWith("writing") { writeAll() } }
            launch { endWith("watching") { watch() } }
            end.await().also {
                shut()
                coroutineContext.cancelChildren()
            }
        }
    } finally {
        shut()
    }

    /** Closes the socket and refuses further frames. */
    fun shut() {
        queue.close()
        socket.close()
    }

    private suspend fun endWith(
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
            } else if (!pings) {
                queue.offer(frame(MessageKinds.ping, 0, decodeOrFault(Ping.serializer(), envelope.body)))
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

    /** Ends the link when nothing arrives any more. A pause of this process also counts; the link is then dialled anew. */
    private suspend fun watch() {
        // The accepting side waits one heartbeat longer, since the dialling side sends its first ping only after one silent interval.
        val limitMs = if (pings) options.silenceMs else options.silenceMs + options.heartbeatMs
        var sequence = 0L
        while (true) {
            delay(options.heartbeatMs / 2)
            val now = options.now()
            val silentMs = now - lastReceived
            if (silentMs >= limitMs) throw LinkFault("silent for $silentMs ms")
            val idleMs = minOf(lastSent, lastReceived).let { now - it }
            if (pings && idleMs >= options.heartbeatMs) queue.offer(frame(MessageKinds.ping, 0, Ping(++sequence)))
        }
    }
}
