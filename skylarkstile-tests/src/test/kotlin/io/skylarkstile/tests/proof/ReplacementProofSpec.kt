/*
 * Verifies promise 11: every planned stop is a graceful shutdown that interrupts no request.
 * Guards against incomplete and missing responses while all instances are replaced one after the other.
 */
package io.skylarkstile.tests.proof

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.skylarkstile.bench.fleet.Fleet
import io.skylarkstile.bench.load.CallEnd
import io.skylarkstile.bench.load.LoadGenerator
import io.skylarkstile.bench.trace.Arrival
import io.skylarkstile.bench.trace.Scenario
import io.skylarkstile.bench.trace.Trace
import io.skylarkstile.bench.trace.profiles
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay

private const val INSTANCES = 6
private const val ARRIVAL_INTERVAL_MS = 60L
private const val DURATION_MS = 40_000L

class ReplacementProofSpec :
    FunSpec({
        test("replacing all six instances in turn under load cuts no request") {
            Fleet("replacement").use { fleet ->
                fleet.start()
                fleet.records.workspace("cairo")
                repeat(4) { fleet.records.adapter("adapter-$it", "cairo") }
                fleet.engine("engine-1")
                fleet.engine("engine-2")
                val key = fleet.records.key("cairo-1", "cairo")
                val shortTtl = mapOf("http.addressTtlMs" to "1000")
                val initialEntries = (1..INSTANCES).map { fleet.launchEntry("entry-$it", "dc${it % 3 + 1}", shortTtl) }
                initialEntries.forEach { it.process.awaitReady() }
                val arrivals =
                    (0 until DURATION_MS / ARRIVAL_INTERVAL_MS).map {
                        Arrival(it * ARRIVAL_INTERVAL_MS, "cairo", "adapter-${it % 4}", "plate $it", 30)
                    }
                val trace = Trace(profiles.getValue("small"), Scenario.RollingReplacement, 0, DURATION_MS, arrivals)
                val exits = mutableListOf<Int?>()
                val records =
                    coroutineScope {
                        val calls =
                            async {
                                LoadGenerator(
                                    fleet.client,
                                    initialEntries.map { it.addresses.caller },
                                    mapOf("cairo" to key),
                                ).run(trace)
                            }
                        delay(1_000)
                        initialEntries.forEachIndexed { i, entry ->
                            fleet.entry("entry-${INSTANCES + 1 + i}", "dc${i % 3 + 1}", shortTtl)
                            entry.process.terminate()
                            exits += entry.process.awaitExitOrNull(20_000)
                        }
                        calls.await()
                    }
                withClue("exits $exits") { exits.all { it == 0 } shouldBe true }
                records.size shouldBeGreaterThan 600
                records.filter { it.end != CallEnd.Complete }.map { "${it.arrival.atMs} ${it.end} ${it.code}" }.shouldBeEmpty()
            }
        }
    })
