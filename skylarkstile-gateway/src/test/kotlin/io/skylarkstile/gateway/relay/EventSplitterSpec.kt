/*
 * Guards against resumed streams that lose, repeat or merge events, at whichever byte the stream was interrupted.
 */
package io.skylarkstile.gateway.relay

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.skylarkstile.gateway.forEachSeed
import kotlin.random.Random

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
    })
