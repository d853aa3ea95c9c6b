/*
 * Verifies promise 5. Guards against a withdrawn key that keeps working, for new calls and for running streams, also on instances that are
 * disconnected from the platform or from the whole fleet.
 */
package io.skylarkstile.tests.proof

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.skylarkstile.bench.fleet.EntryInstance
import io.skylarkstile.tests.harness.ModelRequest
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
                ModelRequest("cairo-stamps").let { caller(entries[0], cairo).send(it).shouldAnswer(it) }
                ModelRequest("perth-stamps").let { caller(entries[0], perth).send(it).shouldAnswer(it) }

                val disconnected = entries[1]
                fleet.proxy.set("""{"links":["platform-${disconnected.name}"],"cut":true}""")
                delay(500)
                coroutineScope {
                    val streams = entries.map { async { timedStream(it, cairo) } }
                    val other = async { timedStream(entries[0], perth, maxTokens = 300) }
                    delay(1_500)
                    val withdrawn = System.nanoTime()
                    fleet.records.withdrawKey("cairo-1")
                    val refusals = entries.map { async { awaitStatus(it, cairo, 401) } }
                    for ((entry, at) in entries.zip(refusals.awaitAll())) {
                        val ms = (at - withdrawn) / NANOS_PER_MS
                        println("WithdrawnKeyProofSpec: new calls on ${entry.name} refused after $ms ms")
                        withClue("new calls on ${entry.name}") { ms shouldBeLessThan BOUND_MS }
                    }
                    for ((entry, stream) in entries.zip(streams.awaitAll())) {
                        val ms = (stream.endedAt - withdrawn) / NANOS_PER_MS
                        println("WithdrawnKeyProofSpec: stream on ${entry.name} ended after $ms ms")
                        withClue("stream on ${entry.name}: ${stream.reply.problem} ${stream.reply.failure}") {
                            stream.reply.complete shouldBe false
                            stream.reply.problem
                                .toString()
                                .contains("key-withdrawn") shouldBe true
                            ms shouldBeLessThan BOUND_MS
                        }
                    }
                    withClue("the stream of another key goes on") { other.await().reply.complete shouldBe true }
                }
                checkIsolatedInstance(perth)
            }
        }
    })

/**
 * Disconnects the owner of the engine from the platform and its peers, and checks when it refuses new calls and when it ends its stream.
 * The owner is used because a stream at another instance would already end when its connection to the owner is lost.
 */
private suspend fun ProofFleet.checkIsolatedInstance(key: String) = coroutineScope {
    val addresses = caller(entries[0], key).call("GET", "/v1/address?model=perth-stamps").body
    val isolated = entries.minBy { addresses.indexOf(it.addresses.advertisedCaller) }
    val stream = async { timedStream(isolated, key) }
    delay(1_000)
    val begin = System.nanoTime()
    fleet.proxy.set("""{"links":["platform-${isolated.name}","peers-${isolated.name}"],"cut":true}""")
    for (other in entries - isolated) fleet.proxy.set("""{"links":["peers-${other.name}"],"from":"${isolated.name}","cut":true}""")
    val refused = (awaitStatus(isolated, key, 503) - begin) / NANOS_PER_MS
    val ended = stream.await()
    val endedMs = (ended.endedAt - begin) / NANOS_PER_MS
    println("WithdrawnKeyProofSpec: isolated instance refused after $refused ms, ended its stream after $endedMs ms")
    withClue("refusal of an isolated instance") { refused shouldBeLessThan 3_000 + TOLERANCE_MS }
    withClue("end of a stream: ${ended.reply.problem} ${ended.reply.failure}") {
        ended.reply.complete shouldBe false
        ended.reply.problem
            .toString()
            .contains("isolated") shouldBe true
        endedMs shouldBeLessThan 5_000 + TOLERANCE_MS
    }
}

private class TimedReply(
    val reply: Reply,
    val endedAt: Long,
)

/** Reads a stream; by default it has so many tokens that it outlasts the test unless the instance ends it. */
private suspend fun ProofFleet.timedStream(
    entry: EntryInstance,
    key: String,
    maxTokens: Int = 6_000,
): TimedReply {
    val model = if ("cairo" in key) "cairo-stamps" else "perth-stamps"
    val reply = caller(entry, key, 12_000).send(ModelRequest(model, maxTokens = maxTokens))
    return TimedReply(reply, System.nanoTime())
}

/** Returns the time at which a new call with [key] first gets [status]; gives up after 10 s, twice the bound for ending a stream. */
private suspend fun ProofFleet.awaitStatus(
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
private const val TOLERANCE_MS = 700L
private const val PROPAGATION_MS = 2_000L
private const val NANOS_PER_MS = 1_000_000L
