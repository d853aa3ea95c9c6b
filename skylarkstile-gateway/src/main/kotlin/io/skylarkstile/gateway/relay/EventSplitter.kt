/*
 * Cuts a stream of server-sent events into whole events and remembers the id of the last one, so that a broken stream can be resumed at
 * another target without losing, repeating or joining events.
 */
package io.skylarkstile.gateway.relay

import java.io.ByteArrayOutputStream

private const val LF = '\n'.code.toByte()
private const val CR = '\r'.code.toByte()
private val idField = "id:".encodeToByteArray()

/** An event that grows beyond this isn't one: a target in trouble may send bytes without end, and all of an event is kept until it is whole. */
const val MOST_EVENT_BYTES = 256 * 1024

/** Holds back an event until it is whole. Not thread-safe. */
class EventSplitter {
    private val pending = ByteArrayOutputStream()
    private val line = ByteArrayOutputStream()
    private var eventId: String? = null

    /** Id of the last whole event that had one. */
    var lastId: String? = null
        private set

    /** Number of bytes held back. */
    val heldBytes: Int get() = pending.size()

    /** True when the event that is held back is too large to be one. */
    val isEndless: Boolean get() = heldBytes > MOST_EVENT_BYTES

    /** Takes [data] and returns the bytes of all events that are whole now. */
    fun add(data: ByteArray): ByteArray {
        val whole = ByteArrayOutputStream()
        data.forEach { byte ->
            pending.write(byte.toInt())
            if (byte == LF) {
                endLine(whole)
            } else if (byte != CR) {
                line.write(byte.toInt())
            }
        }
        return whole.toByteArray()
    }

    /** Drops the part of an event that is held back, because its stream broke off. */
    fun dropPart() {
        pending.reset()
        line.reset()
        eventId = null
    }

    private fun endLine(whole: ByteArrayOutputStream) {
        if (line.size() > 0) {
            idOrNull(line.toByteArray())?.let { eventId = it }
            line.reset()
            return
        }
        pending.writeTo(whole)
        pending.reset()
        lastId = eventId ?: lastId
        eventId = null
    }

    private fun idOrNull(line: ByteArray): String? {
        if (line.size <= idField.size || idField.indices.any { line[it] != idField[it] }) return null
        return String(line, idField.size, line.size - idField.size, Charsets.UTF_8).trim()
    }
}
