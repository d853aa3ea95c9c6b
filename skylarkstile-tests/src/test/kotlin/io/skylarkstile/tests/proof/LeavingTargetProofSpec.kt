/*
 * Verifies promise 10: a target that leaves gets no new work after 3 s, and the requests that run on it finish.
 */
package io.skylarkstile.tests.proof

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.skylarkstile.bench.fleet.Fleet
import io.skylarkstile.bench.fleet.FleetTarget
import io.skylarkstile.tests.harness.Caller
import io.skylarkstile.tests.harness.ModelRequest
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private const val WORKERS = 8

/** Time in milliseconds after which a leaving target must get no new work (promise 10). */
private const val LEAVING_BOUND_MS = 3_000L

class LeavingTargetProofSpec :
    FunSpec({
        test("a target that drains by its record or leaves by the platform's list gets no work after 3 s and finishes what it runs") {
            val seed = proofSeed("LeavingTargetProofSpec")
            Fleet("proof-leaving").use { fleet ->
                fleet.start()
                fleet.weights()
                fleet.records.workspace("cairo")
                for (n in 1..4) fleet.records.adapter("adapter-$n", "cairo")
                val key = fleet.records.key("cairo-1", "cairo")
                val engines = coroutineScope { (1..2).map { async { fleet.engine("engine-$it", slots = 3) } }.awaitAll() }
                val entries = (1..2).map { fleet.entry("entry-$it") }
                var stop = false
                val exchanges =
                    coroutineScope {
                        val workers =
                            (0 until WORKERS).map { n ->
                                val random = Random(seed + n)
                                val caller = Caller(fleet.client, entries[n % 2].process.address, key)
                                // Responses of about 4 s are still running when their target stops taking work.
                                val maxTokens = if (n < 2) 400 else 10
                                async {
                                    caller.sendUntil({ stop }) {
                                        ModelRequest(
                                            "adapter-${random.nextInt(4) + 1}",
                                            "plate ${random.nextInt()}",
                                            maxTokens,
                                            seed = random.nextLong(),
                                        )
                                    }
                                }
                            }
                        for (engine in engines) eventually(8.seconds) { engine.executions() shouldBeGreaterThan 10 }
                        fleet.records.target("engine-1", engines[0].record.copy(draining = true))
                        engines[0].shouldReceiveNoWork()
                        fleet.records.target("engine-1", engines[0].record)
                        val before = engines[0].executions()
                        eventually(5.seconds) { engines[0].executions() shouldBeGreaterThan before }
                        fleet.objects.set("""{"leaving":["engine-2"]}""")
                        engines[1].shouldReceiveNoWork()
                        stop = true
                        workers.awaitAll().flatten()
                    }
                val complete = exchanges.filter { it.reply.complete && it.reply.status == 200 }
                println("${exchanges.size} requests, ${complete.size} complete responses")
                complete.forEach { it.reply.shouldAnswer(it.request) }
                withClue("requests that did not finish on the target that started them") {
                    engines.forEach { it.control.value("cancelled") shouldBe "0" }
                    exchanges.filter { it.reply.status == 200 && !it.reply.complete }.size shouldBe 0
                }
            }
        }
    })

private suspend fun FleetTarget.executions(): Int = control.value("executions").toInt()

/** Waits for [LEAVING_BOUND_MS], then fails when this engine starts a request or receives a load order in the next 2 s. */
private suspend fun FleetTarget.shouldReceiveNoWork() {
    delay(LEAVING_BOUND_MS)
    val before = executions() to control.value("orders", "loads")
    delay(2_000)
    withClue("$name: executions and loads") { executions() to control.value("orders", "loads") shouldBe before }
}
