/*
 * Test peer that writes frames directly to a socket, for tests of malformed input, silent links and outdated incarnations.
 */
package io.skylarkstile.transport.peer

import io.skylarkstile.schema.generated.Envelope
import io.skylarkstile.schema.generated.Hello
import io.skylarkstile.schema.generated.HelloReply
import io.skylarkstile.schema.peerCbor
import java.io.DataInputStream
import java.io.DataOutputStream
import java.io.EOFException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Reads and writes frames on one connection of a [RawPeer] or of a test. */
internal class RawLink(
    private val socket: Socket,
) : AutoCloseable by socket {
    private val input = DataInputStream(socket.getInputStream())
    private val output = DataOutputStream(socket.getOutputStream())

    fun writeBytes(bytes: ByteArray) {
        output.writeInt(bytes.size)
        output.write(bytes)
        output.flush()
    }

    fun <T> write(
        kind: MessageKind<T>,
        id: Long,
        message: T,
    ) = writeBytes(frame(kind, id, message).bytes)

    fun writeSize(size: Int) {
        output.writeInt(size)
        output.flush()
    }

    fun read(): Envelope = peerCbor.decodeFromByteArray(Envelope.serializer(), ByteArray(input.readInt()).also { input.readFully(it) })

    /** Returns the next frame that is not a ping. */
    fun readMessage(): Envelope = generateSequence { read() }.first { it.kind != MessageKinds.ping.name }

    /** Returns whether the other side closes the connection within [timeoutMs] milliseconds. */
    fun endsWithin(timeoutMs: Int): Boolean {
        socket.soTimeout = timeoutMs
        return try {
            while (true) read()
            @Suppress("UNREACHABLE_CODE")
            false
        } catch (_: EOFException) {
            true
        } catch (e: SocketException) {
            e.message.orEmpty().contains("reset")
        } catch (_: java.net.SocketTimeoutException) {
            false
        }
    }
}

/** Opens a link to [address] and sends [hello]. */
internal fun rawLink(
    address: String,
    hello: Hello,
): RawLink {
    val (host, port) = hostAndPort(address)
    return RawLink(Socket(host, port)).also { it.write(helloKind, 0, hello) }
}

/** Listens as instance [name] and calls [serve] with each accepted link after the handshake. */
internal class RawPeer(
    private val name: String,
    private val incarnation: Long = 1,
    private val serve: (RawLink) -> Unit,
) : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    private val acceptedLinks = AtomicInteger()
    val address = "127.0.0.1:${server.localPort}"

    /** Number of links accepted so far. */
    val links: Int get() = acceptedLinks.get()

    init {
        thread(isDaemon = true) {
            try {
                while (true) RawLink(server.accept()).let { thread(isDaemon = true) { run(it) } }
            } catch (_: SocketException) {
                // The test has closed the server socket.
            }
        }
    }

    private fun run(link: RawLink) {
        acceptedLinks.incrementAndGet()
        link.read()
        link.write(helloReplyKind, 0, HelloReply(instance = name, incarnation = incarnation, version = 1))
        serve(link)
    }

    override fun close() = server.close()
}
