/*
 * Verifies promise 7: a caller gets the complete response to its own request, or an explicit error. The tokens of the stand-in engines
 * contain their index and depend on the request, so a truncated, duplicated or mixed response differs from the expected text.
 */
package io.skylarkstile.tests.proof

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.skylarkstile.bench.fleet.Fleet
import io.skylarkstile.tests.harness.Caller
import io.skylarkstile.tests.harness.ModelRequest
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlin.random.Random

private const val WORKERS = 9

/** Time without data from a target after which an instance ends an attempt; short, so that stalls time out within the test. */
private const val IDLE_TIMEOUT_MS = 1_000

class WholeAnswerProofSpec :
    FunSpec({
        test(
            "no truncated, duplicated or mixed response looks complete when answers are swapped, engines stall or die, and an owner dies",
        ) {
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
                var killed = -1
                val exchanges =
                    coroutineScope {
                        val workers =
                            (0 until WORKERS).map { n ->
                                val random = Random(seed + n)
                                val caller = Caller(fleet.client, entries[n % 3].process.address, key)
                                async {
                                    n % 3 to
                                        caller.sendUntil({ stop || n % 3 == killed }) {
                                            val prompt = "plate ${random.nextInt()}"
                                            ModelRequest(
                                                "stamps",
                                                prompt,
                                                random.nextInt(20, 60),
                                                n % 4 != 0,
                                                random.nextLong(),
                                                n % 2 == 0,
                                            )
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
                        killed = entries.indexOf(fleet.ownerOrNull(entries, "engine-1").shouldNotBeNull())
                        entries[killed].process.kill()
                        delay(3_000)
                        stop = true
                        workers.awaitAll()
                    }
                val all = exchanges.flatMap { it.second }
                val complete = all.filter { it.reply.complete && it.reply.status == 200 }
                val failed = all.filter { it.reply.status == 200 && !it.reply.complete || it.reply.outcome == "unknown" }
                println("${all.size} requests, ${complete.size} complete responses, ${failed.size} explicit errors")
                complete.filter { it.reply.text != it.request.expected("1") }.shouldBeEmpty()
                complete.filter { it.reply.completionTokens != it.request.maxTokens }.shouldBeEmpty()
                for ((entry, sent) in exchanges) {
                    // Callers of the killed instance may lose their connection; for all others the response itself must state the error.
                    if (entry == killed) sent.forEach { it.shouldBeCompleteOrError() } else sent.forEach { it.shouldBeCompleteOrProblem() }
                }
                complete.size shouldBeGreaterThan 60
                engines[1].control.value("brokenStreams").toInt() shouldBeGreaterThan 0
            }
        }
    })

private fun Exchange.shouldBeCompleteOrProblem() = withClue("response to $request: $reply") {
    if (reply.complete && reply.status == 200) reply.problem shouldBe null else reply.problem.shouldNotBeNull()
}
