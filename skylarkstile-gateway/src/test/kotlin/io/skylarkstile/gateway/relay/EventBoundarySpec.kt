/*
 * Guards against a stream that ends inside an event and is taken for complete, however its bytes are split.
 */
package io.skylarkstile.gateway.relay

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.buffer.Unpooled
import io.skylarkstile.gateway.forEachSeed
import kotlin.random.Random

class EventBoundarySpec :
    FunSpec({
        listOf("\n", "\r\n").forEach { line ->
            test("only the end of an event is a boundary, with lines that end with ${line.length} bytes") {
                forEachSeed(20) { seed ->
                    val random = Random(seed)
                    val event = "id: 1${line}data: x$line$line"
                    val whole = event.repeat(3)
                    (1..whole.length).forEach { end ->
                        val boundary = EventBoundary()
                        var at = 0
                        while (at < end) {
                            val next = minOf(end, at + 1 + random.nextInt(4))
                            boundary.add(Unpooled.wrappedBuffer(whole.substring(at, next).toByteArray()))
                            at = next
                        }
                        withClue("after $end bytes") { boundary.isInsideEvent shouldBe (end % event.length != 0) }
                    }
                }
            }
        }

        test("an empty stream is not inside an event") {
            EventBoundary().isInsideEvent shouldBe false
        }
    })
