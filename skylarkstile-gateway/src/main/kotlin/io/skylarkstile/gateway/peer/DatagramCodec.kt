/*
 * Encodes messages between instances. Reports of a large fleet repeat the same names many times, so all but short messages are deflated:
 * a report of 6 kB shrinks to about a third, without which a slow link can't carry the reports to a whole group.
 */
package io.skylarkstile.gateway.peer

import io.skylarkstile.schema.generated.GatewayDatagram
import io.skylarkstile.schema.peerCbor
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.Inflater

/** Messages shorter than this are not deflated, in bytes. */
private const val MIN_DEFLATE_BYTES = 700

/** Maximum size of an inflated message, in bytes; a longer one is rejected as malformed. */
private const val MAX_INFLATED_BYTES = 1024 * 1024

/** First byte of a deflated message. A plain message never begins with it, because it is a CBOR map. */
private const val DEFLATED_MARKER: Byte = 1

/** Encodes and decodes datagrams, reusing its buffers. Not thread-safe. */
@OptIn(ExperimentalSerializationApi::class)
internal class DatagramCodec {
    private val deflater = Deflater(Deflater.BEST_SPEED, true)
    private val inflater = Inflater(true)
    private var buffer = ByteArray(INITIAL_BUFFER_BYTES)

    /** Returns the bytes of [datagram], deflated unless it is short. */
    fun encode(datagram: GatewayDatagram): ByteArray {
        val plain = peerCbor.encodeToByteArray(GatewayDatagram.serializer(), datagram)
        return if (plain.size < MIN_DEFLATE_BYTES) plain else deflated(plain)
    }

    /** Decodes the output of [encode]; throws [SerializationException] or [IllegalArgumentException] for malformed input. */
    fun decode(bytes: ByteArray): GatewayDatagram {
        val plain = if (bytes.firstOrNull() == DEFLATED_MARKER) inflated(bytes) else bytes
        return peerCbor.decodeFromByteArray(GatewayDatagram.serializer(), plain)
    }

    private fun deflated(plain: ByteArray): ByteArray {
        deflater.reset()
        deflater.setInput(plain)
        deflater.finish()
        buffer[0] = DEFLATED_MARKER
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
                if (read == 0 && !inflater.finished()) throw SerializationException("deflated message is truncated")
                size += read
                if (size > MAX_INFLATED_BYTES) throw SerializationException("deflated message is longer than $MAX_INFLATED_BYTES bytes")
            }
        } catch (e: DataFormatException) {
            throw SerializationException("deflated message is malformed: ${e.message}", e)
        }
        return buffer.copyOf(size)
    }

    private companion object {
        const val INITIAL_BUFFER_BYTES = 16 * 1024
    }
}
