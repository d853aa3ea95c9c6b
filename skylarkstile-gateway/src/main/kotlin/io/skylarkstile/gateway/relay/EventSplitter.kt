/*
 * Splits a stream of server-sent events into complete events and remembers the id of the last one, so that an interrupted stream can be
 * resumed at another target without losing, repeating or merging events. Lines are read in place: a long event costs a copy and a search.
 */
package io.skylarkstile.gateway.relay

import java.io.ByteArrayOutputStream

private const val LF = '\n'.code.toByte()
private const val CR = '\r'.code.toByte()
private val idField = "id:".encodeToByteArray()
private val dataField = "data".encodeToByteArray()

/** Maximum size of an event in bytes. An event is buffered until it is complete, and a faulty target may send data without end. */
const val MAX_EVENT_BYTES = 256 * 1024

/** Size in bytes of the buffer of a stream whose events are short; a larger one is given up after its event. */
private const val KEPT_BUFFER_BYTES = 4 * 1024

/** Buffers each event until it is complete. Not thread-safe. */
class EventSplitter {
    private var buffer = ByteArray(0)
    private var size = 0
    private var lineStart = 0
    private var eventId: String? = null
    private var hasData = false

    /** Id of the last complete event that had one. */
    var lastId: String? = null
        private set

    /** True while [lastId] says where the stream can be resumed: no event with data has followed that one. */
    var isResumable = true
        private set

    /** Size of the incomplete event in bytes. */
    val bufferedBytes: Int get() = size

    /** True when the incomplete event exceeds [MAX_EVENT_BYTES]. */
    val isOversized: Boolean get() = bufferedBytes > MAX_EVENT_BYTES

    /** Appends [data] and returns the bytes of all events that it completes. */
    fun add(data: ByteArray): ByteArray {
        val added = size
        append(data)
        var completeBytes = 0
        for (index in added until size) {
            if (buffer[index] != LF) continue
            if (finishLine(index)) completeBytes = index + 1
            lineStart = index + 1
        }
        return takeEvents(completeBytes)
    }

    private fun append(data: ByteArray) {
        val needed = size + data.size
        if (needed > buffer.size) buffer = buffer.copyOf(maxOf(needed, minOf(buffer.size * 2, MAX_EVENT_BYTES)))
        data.copyInto(buffer, size)
        size = needed
    }

    private fun takeEvents(bytes: Int): ByteArray {
        if (bytes == 0) return noBytes
        val events = buffer.copyOf(bytes)
        val rest = size - bytes
        if (buffer.size > KEPT_BUFFER_BYTES) {
            buffer = buffer.copyOfRange(bytes, size)
        } else {
            buffer.copyInto(buffer, 0, bytes, size)
        }
        size = rest
        lineStart -= bytes
        return events
    }

    /** Discards the incomplete event after its stream was interrupted. */
    fun dropIncompleteEvent() {
        size = 0
        lineStart = 0
        eventId = null
        hasData = false
    }

    /** Reads the line that ends before [end], and returns whether it ends an event. */
    private fun finishLine(end: Int): Boolean {
        if (!isEmptyLine(end)) {
            if (lineStartsWith(idField, end)) eventId = eventIdOrNull(end) ?: eventId
            if (lineStartsWith(dataField, end)) hasData = true
            return false
        }
        if (eventId != null) {
            isResumable = true
        } else if (hasData) {
            isResumable = false
        }
        lastId = eventId ?: lastId
        eventId = null
        hasData = false
        return true
    }

    private fun isEmptyLine(end: Int): Boolean = (lineStart until end).all { buffer[it] == CR }

    /** Returns whether the line begins with [prefix]; carriage returns are ignored wherever they stand. */
    private fun lineStartsWith(
        prefix: ByteArray,
        end: Int,
    ): Boolean {
        var matched = 0
        for (index in lineStart until end) {
            if (matched == prefix.size) break
            if (buffer[index] == CR) continue
            if (buffer[index] != prefix[matched++]) return false
        }
        return matched == prefix.size
    }

    private fun eventIdOrNull(end: Int): String? {
        val line = ByteArrayOutputStream(end - lineStart)
        for (index in lineStart until end) if (buffer[index] != CR) line.write(buffer[index].toInt())
        if (line.size() <= idField.size) return null
        return String(line.toByteArray(), idField.size, line.size() - idField.size, Charsets.UTF_8).trim()
    }

    private companion object {
        val noBytes = ByteArray(0)
    }
}
