/*
 * Guards against bursts that a slow link partly drops, and against receivers that are starved because their turn never comes.
 */
package io.skylarkstile.gateway.peer

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.skylarkstile.gateway.ManualScheduler
import java.net.InetSocketAddress

private val receivers = List(24) { InetSocketAddress("10.0.0.${it + 1}", 7_600) }

private class Fixture(
    linkMbps: Int,
) {
    val scheduler = ManualScheduler()
    val written = ArrayList<Pair<Long, InetSocketAddress>>()
    val sends = PacedSends(linkMbps, scheduler) { _, receiver -> written.add(scheduler.now() to receiver) }
}

class PacedSendsSpec :
    FunSpec({
        test("half of the link is used at most, and all receivers are served in turn") {
            val fixture = Fixture(linkMbps = 10)
            fixture.sends.send("fleet", ByteArray(4_000), receivers)
            // A burst of 8 kB first, then 625 bytes per millisecond.
            (0L..150L step 10).forEach { at ->
                fixture.written.count { it.first <= at } * 4_000 shouldBeLessThanOrEqual 12_000 + at.toInt() * 625
                fixture.scheduler.advance(10)
            }
            fixture.scheduler.advance(200)
            fixture.written.map { it.second } shouldBe receivers
        }

        test("a link that is too slow for all sends serves all receivers alike") {
            val fixture = Fixture(linkMbps = 1)
            repeat(40) {
                fixture.sends.send("fleet", ByteArray(4_000), receivers)
                fixture.scheduler.advance(300)
            }
            val counts = receivers.map { receiver -> fixture.written.count { it.second == receiver } }
            counts.min() shouldBeGreaterThan 5
            counts.max() - counts.min() shouldBeLessThanOrEqual 1
        }

        test("sends over an unknown link aren't held back") {
            val fixture = Fixture(linkMbps = 0)
            fixture.sends.send("fleet", ByteArray(40_000), receivers)
            fixture.written.size shouldBe receivers.size
        }
    })
