/*
 * Guards against resumed streams that lose, repeat or merge events, at whichever byte the stream was interrupted.
 */
package io.skylarkstile.gateway.relay

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.skylarkstile.gateway.forEachSeed
import java.io.ByteArrayOutputStream
import kotlin.random.Random
import kotlin.system.measureNanoTime

private const val NS_PER_MS = 1_000_000

/** Splits events byte by byte, as the specification of [EventSplitter] says; returns the events, the last id, and the incomplete bytes. */
private class ReferenceSplitter {
    private val line = ByteArrayOutputStream()
    private val pending = ByteArrayOutputStream()
    private val complete = ByteArrayOutputStream()
    private var eventId: String? = null
    private var hasData = false
    var isResumable = true
    var lastId: String? = null
    val events: String get() = complete.toString(Charsets.ISO_8859_1)
    val incompleteBytes: Int get() = pending.size()

    fun add(byte: Byte) {
        pending.write(byte.toInt())
        when (byte) {
            '\n'.code.toByte() -> finishLine()
            '\r'.code.toByte() -> Unit
            else -> line.write(byte.toInt())
        }
    }

    private fun finishLine() {
        val text = line.toString(Charsets.UTF_8)
        line.reset()
        if (text.isNotEmpty()) {
            if (text.length > 3 && text.startsWith("id:")) eventId = text.drop(3).trim()
            if (text.startsWith("data")) hasData = true
            return
        }
        pending.writeTo(complete)
        pending.reset()
        if (eventId != null || hasData) isResumable = eventId != null
        lastId = eventId ?: lastId
        eventId = null
        hasData = false
    }
}

/** Returns a stream of lines with odd names, ends and sizes. */
private fun oddStream(random: Random): ByteArray {
    val parts =
        listOf("id:", "id: 7", "i\rd:8", "data", "da\rta: x", "data:\r", "\r", "\n", "\r\n", "\n\n", " ", ":", "x".repeat(300), "é", "id")
    return (1..random.nextInt(60)).joinToString("") { parts[random.nextInt(parts.size)] }.toByteArray()
}

private fun event(id: Int) = "id: $id\nversion: 1\ndata: text $id\n\n"

class EventSplitterSpec :
    FunSpec({
        test("a stream that is interrupted at any byte and resumed after its last event id is complete") {
            forEachSeed(200) { seed ->
                val random = Random(seed)
                val whole = (1..12).joinToString("") { event(it) }
                val splitter = EventSplitter()
                val received = StringBuilder()
                var broken = 0
                while (splitter.lastId != "12") {
                    val from = (splitter.lastId?.toInt() ?: 0) + 1
                    val rest = (from..12).joinToString("") { event(it) }.toByteArray()
                    val end = if (broken++ < 5) random.nextInt(rest.size + 1) else rest.size
                    var at = 0
                    while (at < end) {
                        val next = minOf(end, at + 1 + random.nextInt(20))
                        received.append(String(splitter.add(rest.copyOfRange(at, next))))
                        at = next
                    }
                    splitter.dropIncompleteEvent()
                }
                received.toString() shouldBe whole
            }
        }

        test("lines may end with CR LF, and an event without an id keeps the last id") {
            val splitter = EventSplitter()
            String(splitter.add("id: 4\r\ndata: x\r\n\r\n: comment\r\n\r\nid: 5\r\n".toByteArray())) shouldBe
                "id: 4\r\ndata: x\r\n\r\n: comment\r\n\r\n"
            splitter.lastId shouldBe "4"
            splitter.bufferedBytes shouldBe 7
        }

        test("an event that exceeds the maximum size is reported as oversized") {
            val splitter = EventSplitter()
            splitter.add("id: 1\ndata: ${"x".repeat(MAX_EVENT_BYTES / 2)}\n\n".toByteArray())
            splitter.isOversized shouldBe false
            splitter.add("data: ${"x".repeat(MAX_EVENT_BYTES)}".toByteArray())
            splitter.isOversized shouldBe true
        }

        test("a stream of odd lines is split as if it were read byte by byte, in parts of any size") {
            forEachSeed(2_000) { seed ->
                val random = Random(seed)
                val stream = oddStream(random)
                val reference = ReferenceSplitter()
                val splitter = EventSplitter()
                val received = ByteArrayOutputStream()
                var at = 0
                while (at < stream.size) {
                    val next = minOf(stream.size, at + 1 + random.nextInt(40))
                    received.write(splitter.add(stream.copyOfRange(at, next)))
                    for (index in at until next) reference.add(stream[index])
                    received.toString(Charsets.ISO_8859_1) shouldBe reference.events
                    splitter.lastId shouldBe reference.lastId
                    splitter.isResumable shouldBe reference.isResumable
                    splitter.bufferedBytes shouldBe reference.incompleteBytes
                    at = next
                }
            }
        }

        // 128 streams with long events held up the event loop, and short calls beside them waited for seconds.
        test("128 events of 250,000 bytes in parts of 2,000 take less than half of the second after which callers give up") {
            val part = "x".repeat(2_000).toByteArray()

            fun splitAll() = repeat(128) {
                val splitter = EventSplitter()
                splitter.add("data: ".toByteArray())
                repeat(125) { splitter.add(part) }
                splitter.bufferedBytes shouldBe 250_006
            }
            splitAll()
            val fastestMs = (1..5).minOf { measureNanoTime { splitAll() } / NS_PER_MS }
            println("128 events of 250,000 bytes: $fastestMs ms")
            fastestMs shouldBeLessThan 500L
        }
    })
