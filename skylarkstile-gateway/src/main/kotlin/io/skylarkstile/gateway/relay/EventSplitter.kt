/*
 * Splits a stream of server-sent events into complete events and remembers the id of the last one, so that an interrupted stream can be
 * resumed at another target without losing, repeating or merging events.
 */
package io.skylarkstile.gateway.relay

import java.io.ByteArrayOutputStream

private const val LF = '\n'.code.toByte()
private const val CR = '\r'.code.toByte()
private val idField = "id:".encodeToByteArray()
private val dataField = "data".encodeToByteArray()

/** Maximum size of an event in bytes. An event is buffered until it is complete, and a faulty target may send data without end. */
const val MAX_EVENT_BYTES = 256 * 1024

/** Buffers each event until it is complete. Not thread-safe. */
class EventSplitter {
    private val pending = ByteArrayOutputStream()
    private val line = ByteArrayOutputStream()
    private var eventId: String? = null
    private var hasData = false

    /** Id of the last complete event that had one. */
    var lastId: String? = null
        private set

    /** True while [lastId] says where the stream can be resumed: no event with data has followed that one. */
    var isResumable = true
        private set

    /** Size of the incomplete event in bytes. */
    val bufferedBytes: Int get() = pending.size()

    /** True when the incomplete event exceeds [MAX_EVENT_BYTES]. */
    val isOversized: Boolean get() = bufferedBytes > MAX_EVENT_BYTES

    /** Appends [data] and returns the bytes of all events that it completes. */
    fun add(data: ByteArray): ByteArray {
        val complete = ByteArrayOutputStream()
        data.forEach { byte ->
            pending.write(byte.toInt())
            if (byte == LF) {
                finishLine(complete)
            } else if (byte != CR) {
                line.write(byte.toInt())
            }
        }
        return complete.toByteArray()
    }

    /** Discards the incomplete event after its stream was interrupted. */
    fun dropIncompleteEvent() {
        pending.reset()
        line.reset()
        eventId = null
        hasData = false
    }

    private fun finishLine(complete: ByteArrayOutputStream) {
        if (line.size() > 0) {
            val field = line.toByteArray()
            eventIdOrNull(field)?.let { eventId = it }
            if (field.startsWith(dataField)) hasData = true
            line.reset()
            return
        }
        pending.writeTo(complete)
        pending.reset()
        if (eventId != null) {
            isResumable = true
        } else if (hasData) {
            isResumable = false
        }
        lastId = eventId ?: lastId
        eventId = null
        hasData = false
    }

    private fun eventIdOrNull(line: ByteArray): String? {
        if (line.size <= idField.size || !line.startsWith(idField)) return null
        return String(line, idField.size, line.size - idField.size, Charsets.UTF_8).trim()
    }

    private fun ByteArray.startsWith(prefix: ByteArray): Boolean = size >= prefix.size && prefix.indices.all { this[it] == prefix[it] }
}
