/*
 * Promise 7: a caller gets the whole answer to its own request, or an explicit error. The tokens of the engines carry their index and
 * depend on the request, so a short, doubled or mixed answer differs from the expected text.
 */
package io.skylarkstile.tests.proof

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.skylarkstile.bench.fleet.Fleet
import io.skylarkstile.tests.harness.Ask
import io.skylarkstile.tests.harness.Caller
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlin.random.Random

private const val WORKERS = 9

/** Silence of a target after which an instance gives up an attempt; short, so that stalls fit into the test. */
private const val IDLE_TIMEOUT_MS = 1_000

class WholeAnswerProofSpec :
    FunSpec({
        test("no caller takes a short, doubled or mixed answer for whole when answers cross, engines stall or die, and an owner dies") {
            val seed = proofSeed("WholeAnswerProofSpec")
            Fleet("proof-whole").use { fleet ->
                fleet.start()
                fleet.weights()
                fleet.records.workspace("cairo")
                fleet.records.adapter("stamps", "cairo")
                val key = fleet.records.key("cairo-1", "cairo")
                val engines = coroutineScope { (1..2).map { async { fleet.engine("engine-$it") } }.awaitAll() }
                val entries = (1..3).map { fleet.entry("entry-$it", overrides = mapOf("target.idleTimeoutMs" to "$IDLE_TIMEOUT_MS")) }
                var stop = false
                var doomed = -1
                val exchanges =
                    coroutineScope {
                        val workers =
                            (0 until WORKERS).map { n ->
                                val random = Random(seed + n)
                                val caller = Caller(fleet.client, entries[n % 3].process.address, key)
                                async {
                                    n % 3 to
                                        caller.sendUntil({ stop || n % 3 == doomed }) {
                                            val prompt = "plate ${random.nextInt()}"
                                            Ask("stamps", prompt, random.nextInt(20, 60), n % 4 != 0, random.nextLong(), n % 2 == 0)
                                        }
                                }
                            }
                        delay(2_000)
                        for (fault in listOf("crossNext", "breakNext", "stallNext")) {
                            repeat(2) {
                                engines.forEach { it.control.set("""{"$fault":2,"crossAfter":${3 + it.name.last().code % 2}}""") }
                                delay(700)
                            }
                        }
                        engines[0].process.kill()
                        delay(500)
                        engines[0].process.start().awaitReady()
                        doomed = entries.indexOf(fleet.ownerOrNull(entries, "engine-1").shouldNotBeNull())
                        entries[doomed].process.kill()
                        delay(3_000)
                        stop = true
                        workers.awaitAll()
                    }
                val all = exchanges.flatMap { it.second }
                val whole = all.filter { it.reply.whole && it.reply.status == 200 }
                val failed = all.filter { it.reply.status == 200 && !it.reply.whole || it.reply.outcome == "unknown" }
                println("${all.size} requests, ${whole.size} whole answers, ${failed.size} explicit errors")
                whole.filter { it.reply.text != it.ask.expected("1") }.shouldBeEmpty()
                whole.filter { it.reply.completionTokens != it.ask.maxTokens }.shouldBeEmpty()
                for ((entry, sent) in exchanges) {
                    // The callers of the killed instance lose their connection; all others must be told by the answer itself.
                    if (entry == doomed) sent.forEach { it.shouldBeWholeOrExplicit() } else sent.forEach { it.shouldBeWholeOrProblem() }
                }
                whole.size shouldBeGreaterThan 60
                engines[1].control.value("brokenStreams").toInt() shouldBeGreaterThan 0
            }
        }
    })

private fun Exchange.shouldBeWholeOrProblem() = withClue("answer to $ask: $reply") {
    if (reply.whole && reply.status == 200) reply.problem shouldBe null else reply.problem.shouldNotBeNull()
}
