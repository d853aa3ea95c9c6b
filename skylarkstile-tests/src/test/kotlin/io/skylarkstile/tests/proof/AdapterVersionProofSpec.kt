/*
 * Verifies promise 1: each request runs on the adapter and version that it names. The tokens of the stand-in engines depend on the adapter,
 * the version and the path of its weights, so the response text shows where a request ran.
 */
package io.skylarkstile.tests.proof

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.skylarkstile.bench.fleet.BASE_MODEL
import io.skylarkstile.bench.fleet.Fleet
import io.skylarkstile.schema.generated.AdapterRecord
import io.skylarkstile.tests.harness.Caller
import io.skylarkstile.tests.harness.ModelRequest
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlin.random.Random

/** Time within which a changed record must apply on every instance (promise 12). */
private const val CONFIG_BOUND_MS = 5_000L
private const val WORKERS = 6

class AdapterVersionProofSpec :
    FunSpec({
        test("no request runs on another adapter or version over a roll-out and an engine that restarts empty") {
            val seed = proofSeed("AdapterVersionProofSpec")
            Fleet("proof-version").use { fleet ->
                fleet.start()
                fleet.weights()
                fleet.records.workspace("cairo")
                fleet.records.adapter("stamps", "cairo")
                fleet.records.version("stamps", "2")
                fleet.records.adapter("maps", "cairo")
                val key = fleet.records.key("cairo-1", "cairo")
                // Fewer slots than adapter versions, so that versions also evict each other on an engine.
                val engines = coroutineScope { (1..2).map { async { fleet.engine("engine-$it", slots = 2) } }.awaitAll() }
                val entries = (1..2).map { fleet.entry("entry-$it") }
                var stop = false
                var rolledOutAt = Long.MAX_VALUE
                val exchanges =
                    coroutineScope {
                        val workers =
                            (0 until WORKERS).map { n ->
                                val random = Random(seed + n)
                                val caller = Caller(fleet.client, entries[n % entries.size].process.address, key)
                                async {
                                    caller.sendUntil({ stop }) {
                                        val model = listOf("stamps", "stamps@1", "stamps@2", "maps").random(random)
                                        ModelRequest(
                                            model,
                                            "plate ${random.nextInt()}",
                                            random.nextInt(4, 40),
                                            random.nextBoolean(),
                                            random.nextLong(),
                                        )
                                    }
                                }
                            }
                        delay(3_000)
                        fleet.records.put("adapter", "stamps", AdapterRecord(1, "cairo", BASE_MODEL, "2"))
                        rolledOutAt = nowMs()
                        engines.forEach {
                            delay(1_000)
                            it.control.set("""{"action":"restart"}""")
                        }
                        delay(CONFIG_BOUND_MS)
                        stop = true
                        workers.awaitAll().flatten()
                    }
                val complete = exchanges.filter { it.reply.complete && it.reply.status == 200 }
                println("${exchanges.size} requests, ${complete.size} complete responses")
                for ((request, sentAt, reply) in complete) {
                    val versions = versionsFor(request, sentAt - rolledOutAt)
                    withClue("$request, sent ${sentAt - rolledOutAt} ms after the roll-out") {
                        reply.text shouldBeIn versions.map { request.expected(it) }
                    }
                }
                exchanges.forEach { it.shouldBeCompleteOrError() }
                val late = complete.filter { it.request.model == "stamps" && it.sentAt > rolledOutAt + CONFIG_BOUND_MS }
                late.size shouldBeGreaterThan 0
                complete.size shouldBeGreaterThan 100
                engines.forEach { it.control.value("orders", "evictionsInUse") shouldBe "0" }
            }
        }
    })

/** Returns the versions that may serve [request] when it was sent [sinceRollOut] milliseconds after the roll-out of version 2. */
private fun versionsFor(
    request: ModelRequest,
    sinceRollOut: Long,
): List<String> = when {
    '@' in request.model -> listOf(request.model.substringAfter('@'))
    request.model != "stamps" || sinceRollOut < -CONFIG_BOUND_MS -> listOf("1")
    sinceRollOut > CONFIG_BOUND_MS -> listOf("2")
    else -> listOf("1", "2")
}
