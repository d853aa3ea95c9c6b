/*
 * Promise 1: each request runs on the adapter and version it asked for. The tokens of the engines depend on the adapter, the version and
 * the path of its weights, so the text of an answer shows what it ran on.
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
import io.skylarkstile.tests.harness.Ask
import io.skylarkstile.tests.harness.Caller
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlin.random.Random

/** Bound of promise 12: a changed record is in force on each instance after this time. */
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
                // Two slots for four models, so that versions also replace each other on an engine.
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
                                        Ask(
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
                val whole = exchanges.filter { it.reply.whole && it.reply.status == 200 }
                println("${exchanges.size} requests, ${whole.size} whole answers")
                for ((ask, sentAt, reply) in whole) {
                    val versions = versionsFor(ask, sentAt - rolledOutAt)
                    withClue("$ask, sent ${sentAt - rolledOutAt} ms after the roll-out") {
                        reply.text shouldBeIn versions.map { ask.expected(it) }
                    }
                }
                exchanges.forEach { it.shouldBeWholeOrExplicit() }
                val late = whole.filter { it.ask.model == "stamps" && it.sentAt > rolledOutAt + CONFIG_BOUND_MS }
                late.size shouldBeGreaterThan 0
                whole.size shouldBeGreaterThan 100
                engines.forEach { it.control.value("orders", "evictionsInUse") shouldBe "0" }
            }
        }
    })

/** Versions that may answer [ask] when it was sent [sinceRollOut] milliseconds after the roll-out of version 2. */
private fun versionsFor(
    ask: Ask,
    sinceRollOut: Long,
): List<String> = when {
    '@' in ask.model -> listOf(ask.model.substringAfter('@'))
    ask.model != "stamps" || sinceRollOut < -CONFIG_BOUND_MS -> listOf("1")
    sinceRollOut > CONFIG_BOUND_MS -> listOf("2")
    else -> listOf("1", "2")
}
