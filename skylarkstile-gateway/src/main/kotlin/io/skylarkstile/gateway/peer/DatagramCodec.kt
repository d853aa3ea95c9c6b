/*
 * Encodes messages between instances. Reports of a large fleet repeat the same names many times, so all but short messages are deflated:
 * a report of 6 kB shrinks to about a third, which decides whether a slow link can take those of a whole group.
 */
package io.skylarkstile.gateway.peer

import io.skylarkstile.schema.generated.GatewayDatagram
import io.skylarkstile.schema.peerCbor
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.Inflater

/** Messages shorter than this are sent as they are, in bytes. */
private const val DEFLATED_FROM_BYTES = 700

/** Longest message after inflating, in bytes; a longer one is malformed. */
private const val MOST_BYTES = 1024 * 1024

/** First byte of a deflated message; no message in CBOR begins with it, because each is a map. */
private const val DEFLATED: Byte = 1

/** Encodes and decodes with buffers of its own. Not thread-safe. */
@OptIn(ExperimentalSerializationApi::class)
internal class DatagramCodec {
    private val deflater = Deflater(Deflater.BEST_SPEED, true)
    private val inflater = Inflater(true)
    private var buffer = ByteArray(FIRST_BUFFER_BYTES)

    /** Returns [datagram] as it is sent. */
    fun encode(datagram: GatewayDatagram): ByteArray {
        val plain = peerCbor.encodeToByteArray(GatewayDatagram.serializer(), datagram)
        return if (plain.size < DEFLATED_FROM_BYTES) plain else deflated(plain)
    }

    /** Reads what [encode] writes; throws [SerializationException] or [IllegalArgumentException] for anything else. */
    fun decode(bytes: ByteArray): GatewayDatagram {
        val plain = if (bytes.firstOrNull() == DEFLATED) inflated(bytes) else bytes
        return peerCbor.decodeFromByteArray(GatewayDatagram.serializer(), plain)
    }

    private fun deflated(plain: ByteArray): ByteArray {
        deflater.reset()
        deflater.setInput(plain)
        deflater.finish()
        buffer[0] = DEFLATED
        var size = 1
        while (!deflater.finished()) {
            if (size == buffer.size) buffer = buffer.copyOf(buffer.size * 2)
            size += deflater.deflate(buffer, size, buffer.size - size)
        }
        return buffer.copyOf(size)
    }

    private fun inflated(bytes: ByteArray): ByteArray {
        inflater.reset()
        inflater.setInput(bytes, 1, bytes.size - 1)
        var size = 0
        try {
            while (!inflater.finished()) {
                if (size == buffer.size) buffer = buffer.copyOf(buffer.size * 2)
                val read = inflater.inflate(buffer, size, buffer.size - size)
                if (read == 0 && !inflater.finished()) throw SerializationException("deflated message is cut off")
                size += read
                if (size > MOST_BYTES) throw SerializationException("deflated message is longer than $MOST_BYTES bytes")
            }
        } catch (e: DataFormatException) {
            throw SerializationException("deflated message is malformed: ${e.message}", e)
        }
        return buffer.copyOf(size)
    }

    private companion object {
        const val FIRST_BUFFER_BYTES = 16 * 1024
    }
}
