/*
 * Promise 5: guards against a withdrawn key that goes on working, for new calls and for running streams, also on instances that are cut
 * off.
 */
package io.skylarkstile.tests.proof

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.skylarkstile.bench.fleet.EntryInstance
import io.skylarkstile.tests.harness.Ask
import io.skylarkstile.tests.harness.Reply
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay

class WithdrawnKeyProofSpec :
    FunSpec({
        test("a withdrawn key stops for new and running calls everywhere; an instance without any contact stops by itself") {
            withProofFleet("proof-withdrawn") {
                val cairo = fleet.records.key("cairo-1", "cairo")
                val perth = fleet.records.key("perth-1", "perth")
                delay(PROPAGATION_MS)
                Ask("cairo-stamps").let { caller(entries[0], cairo).send(it).shouldAnswer(it) }
                Ask("perth-stamps").let { caller(entries[0], perth).send(it).shouldAnswer(it) }

                val cut = entries[1]
                fleet.proxy.set("""{"links":["platform-${cut.name}"],"cut":true}""")
                delay(500)
                coroutineScope {
                    val streams = entries.map { async { timedStream(it, cairo) } }
                    val other = async { timedStream(entries[0], perth, maxTokens = 300) }
                    delay(1_500)
                    val withdrawn = System.nanoTime()
                    fleet.records.withdrawKey("cairo-1")
                    val refusals = entries.map { async { refusedAt(it, cairo, 401) } }
                    for ((entry, at) in entries.zip(refusals.awaitAll())) {
                        val ms = (at - withdrawn) / NANOS_PER_MS
                        println("WithdrawnKeyProofSpec: new calls on ${entry.name} refused after $ms ms")
                        withClue("new calls on ${entry.name}") { ms shouldBeLessThan BOUND_MS }
                    }
                    for ((entry, stream) in entries.zip(streams.awaitAll())) {
                        val ms = (stream.endedAt - withdrawn) / NANOS_PER_MS
                        println("WithdrawnKeyProofSpec: stream on ${entry.name} ended after $ms ms")
                        withClue("stream on ${entry.name}: ${stream.reply.problem} ${stream.reply.failure}") {
                            stream.reply.whole shouldBe false
                            stream.reply.problem
                                .toString()
                                .contains("key-withdrawn") shouldBe true
                            ms shouldBeLessThan BOUND_MS
                        }
                    }
                    withClue("the stream of another key goes on") { other.await().reply.whole shouldBe true }
                }
                isolate(perth)
            }
        }
    })

/**
 * Cuts the owner of the engine off from platform and peers and checks when it refuses and when it ends its stream. At another instance
 * the stream would end with the link to the owner.
 */
private suspend fun ProofFleet.isolate(key: String) = coroutineScope {
    val addresses = caller(entries[0], key).call("GET", "/v1/address?model=perth-stamps").body
    val alone = entries.minBy { addresses.indexOf(it.addresses.advertisedCaller) }
    val stream = async { timedStream(alone, key) }
    delay(1_000)
    val begin = System.nanoTime()
    fleet.proxy.set("""{"links":["platform-${alone.name}","peers-${alone.name}"],"cut":true}""")
    for (other in entries - alone) fleet.proxy.set("""{"links":["peers-${other.name}"],"from":"${alone.name}","cut":true}""")
    val refused = (refusedAt(alone, key, 503) - begin) / NANOS_PER_MS
    val ended = stream.await()
    val endedMs = (ended.endedAt - begin) / NANOS_PER_MS
    println("WithdrawnKeyProofSpec: isolated instance refused after $refused ms, ended its stream after $endedMs ms")
    withClue("refusal of an isolated instance") { refused shouldBeLessThan 3_000 + HARNESS_MS }
    withClue("end of a stream: ${ended.reply.problem} ${ended.reply.failure}") {
        ended.reply.whole shouldBe false
        ended.reply.problem
            .toString()
            .contains("isolated") shouldBe true
        endedMs shouldBeLessThan 5_000 + HARNESS_MS
    }
}

private class TimedReply(
    val reply: Reply,
    val endedAt: Long,
)

/** Reads a stream that runs longer than the test unless it is ended. */
private suspend fun ProofFleet.timedStream(
    entry: EntryInstance,
    key: String,
    maxTokens: Int = 6_000,
): TimedReply {
    val model = if ("cairo" in key) "cairo-stamps" else "perth-stamps"
    val reply = caller(entry, key, 12_000).send(Ask(model, maxTokens = maxTokens))
    return TimedReply(reply, System.nanoTime())
}

/** Returns the time at which a new call of [key] is first answered with [status]; gives up after twice the bound of a stream. */
private suspend fun ProofFleet.refusedAt(
    entry: EntryInstance,
    key: String,
    status: Int,
): Long {
    val end = System.nanoTime() + 10_000 * NANOS_PER_MS
    while (System.nanoTime() < end) {
        if (caller(entry, key, 2_000).call("GET", "/svc/${if ("cairo" in key) "cairo" else "perth"}-service/registrations").status ==
            status
        ) {
            break
        }
        delay(50)
    }
    return System.nanoTime()
}

private const val BOUND_MS = 3_000L
private const val HARNESS_MS = 700L
private const val PROPAGATION_MS = 2_000L
private const val NANOS_PER_MS = 1_000_000L
