/*
 * Guards against resumed streams that lose, repeat or join events, wherever the bytes of a broken stream end.
 */
package io.skylarkstile.gateway.relay

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.skylarkstile.gateway.playSeeds
import kotlin.random.Random

private fun event(id: Int) = "id: $id\nversion: 1\ndata: text $id\n\n"

class EventSplitterSpec :
    FunSpec({
        test("a stream that breaks off anywhere and goes on after its last id comes out whole") {
            playSeeds(200) { seed ->
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
                    splitter.dropPart()
                }
                received.toString() shouldBe whole
            }
        }

        test("lines may end with CR LF, and an event without id keeps the last one") {
            val splitter = EventSplitter()
            String(splitter.add("id: 4\r\ndata: x\r\n\r\n: comment\r\n\r\nid: 5\r\n".toByteArray())) shouldBe
                "id: 4\r\ndata: x\r\n\r\n: comment\r\n\r\n"
            splitter.lastId shouldBe "4"
            splitter.heldBytes shouldBe 7
        }

        test("an event that grows beyond any size an event has is found endless") {
            val splitter = EventSplitter()
            splitter.add("id: 1\ndata: ${"x".repeat(MOST_EVENT_BYTES / 2)}\n\n".toByteArray())
            splitter.isEndless shouldBe false
            splitter.add("data: ${"x".repeat(MOST_EVENT_BYTES)}".toByteArray())
            splitter.isEndless shouldBe true
        }
    })
