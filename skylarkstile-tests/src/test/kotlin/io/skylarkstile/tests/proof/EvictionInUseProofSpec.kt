/*
 * Verifies promise 2: an adapter in use is never evicted, even while the ownership of an engine moves from a paused instance to another.
 */
package io.skylarkstile.tests.proof

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
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
import kotlin.time.Duration.Companion.seconds

private const val WORKERS = 9
private const val ADAPTERS = 10

class EvictionInUseProofSpec :
    FunSpec({
        for (fencing in listOf(true, false)) {
            test("no adapter in use is evicted while a paused owner is replaced and returns, on engines with fencing $fencing") {
                val seed = proofSeed("EvictionInUseProofSpec fencing $fencing")
                Fleet("proof-eviction-$fencing").use { fleet ->
                    fleet.start()
                    fleet.weights()
                    fleet.records.workspace("cairo")
                    for (n in 1..ADAPTERS) fleet.records.adapter("adapter-$n", "cairo")
                    val key = fleet.records.key("cairo-1", "cairo")
                    val engines =
                        coroutineScope { (1..2).map { async { fleet.engine("engine-$it", slots = 3, fencing = fencing) } }.awaitAll() }
                    val entries = (1..3).map { fleet.entry("entry-$it") }
                    var stop = false
                    val exchanges =
                        coroutineScope {
                            val workers =
                                (0 until WORKERS).map { n ->
                                    val random = Random(seed + n)
                                    val caller = Caller(fleet.client, entries[n % 3].process.address, key, idleTimeoutMs = 2_000)
                                    // Long responses of every third worker are still running when the new owner takes over.
                                    val maxTokens = if (n % 3 == 0) 600 else 30
                                    async {
                                        caller.sendUntil({ stop }) {
                                            ModelRequest(
                                                "adapter-${random.nextInt(ADAPTERS) + 1}",
                                                maxTokens = maxTokens,
                                                seed = random.nextLong(),
                                            )
                                        }
                                    }
                                }
                            delay(2_000)
                            val owner = eventually(3.seconds) { fleet.ownerOrNull(entries, "engine-1").shouldNotBeNull() }
                            owner.process.pause()
                            // Removing a member takes about 5 s: 1.5 s of missed heartbeats and 3.5 s to check its platform lease.
                            eventually(10.seconds) { fleet.ownerOrNull(entries - owner, "engine-1").shouldNotBeNull() }
                            delay(500)
                            owner.process.resume()
                            delay(2_500)
                            stop = true
                            workers.awaitAll().flatten()
                        }
                    val complete = exchanges.filter { it.reply.complete && it.reply.status == 200 }
                    val unloads = engines.sumOf { it.control.value("orders", "unloads").toInt() }
                    println("${exchanges.size} requests, ${complete.size} complete responses, $unloads unloads")
                    for (engine in engines) {
                        withClue(engine.name) { engine.control.value("orders", "evictionsInUse") shouldBe "0" }
                    }
                    unloads shouldBeGreaterThan 5
                    complete.size shouldBeGreaterThan 20
                    complete.forEach { it.reply.shouldAnswer(it.request) }
                    exchanges.forEach { it.shouldBeCompleteOrError() }
                }
            }
        }
    })
