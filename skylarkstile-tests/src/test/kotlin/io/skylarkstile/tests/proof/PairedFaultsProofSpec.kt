/*
 * Promises 1, 2, 7, 8, 9 and 12 while two faults overlap. Guards against a mechanism that survives one fault only because another
 * part of the fleet still works.
 */
package io.skylarkstile.tests.proof

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.skylarkstile.tests.harness.Ask
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Pairs in one run; `-Dproof.pairs` sets more for a long run. */
private val pairs = System.getProperty("proof.pairs")?.toInt() ?: 3

/** The sequence of pairs of the ordinary run; `-Dproof.seed` sets another. */
private val pairSeed = System.getProperty("proof.seed")?.toLong() ?: 20261204L

/** Within it the second fault follows the first, which is shorter than a lease. */
private const val LARGEST_OFFSET_MS = 1_500L

/** Longer than a lease with its guard, so that ownership moves during the fault. */
private const val HOLD_MS = 4_000L

class PairedFaultsProofSpec :
    FunSpec({
        test("two overlapping faults run no key twice, make no not-run answer untrue, mix no answers, and the fleet recovers") {
            val random = Random(pairSeed)
            withProofFleet("proof-pairs") {
                val key = fleet.records.key("cairo-1", "cairo")
                val load = OnceLoad(this, key, pairSeed)
                val brought = ArrayList<String>()
                withClue({ "seed $pairSeed, pairs $brought" }) {
                    coroutineScope {
                        val workers =
                            (1..ONCE_WORKERS).map { launch { load.callService(it) } } + (1..2).map { launch { load.askModel(it) } }
                        repeat(pairs) {
                            val pair = faults(random).shuffled(random).take(2)
                            brought += pair.joinToString(" + ")
                            println("PairedFaultsProofSpec: ${pair.joinToString(" + ")}")
                            bring(pair, random)
                            awaitRecovery(key)
                        }
                        load.stop()
                        workers.joinAll()
                    }
                    println("PairedFaultsProofSpec: ${load.summary()}")
                    val executed = executions("executionsByRequest")
                    val generated = engineExecutions()
                    executions("executionsByKey").filterValues { it > 1 }.shouldBeEmpty()
                    load.notRun.filter { (executed[it] ?: 0) > 0 }.shouldBeEmpty()
                    load.modelNotRun.filter { (generated[it] ?: 0) > 0 }.shouldBeEmpty()
                    load.wrong.shouldBeEmpty()
                    engine.control.value("orders", "evictionsInUse") shouldBe "0"
                }
            }
        }
    })

private suspend fun ProofFleet.bring(
    pair: List<Fault>,
    random: Random,
) {
    pair.first().bring()
    delay(random.nextLong(LARGEST_OFFSET_MS))
    pair.last().bring()
    delay(HOLD_MS)
    pair.shuffled(random).forEach { it.heal() }
    fleet.proxy.set("""{"links":["peers-*","platform-*","target-*"],"heal":true}""")
}

/** Waits until every instance answers a model request and a call that may not be repeated, and all know the same revision. */
private suspend fun ProofFleet.awaitRecovery(key: String) {
    for (entry in entries) {
        eventually(RECOVERY) {
            caller(entry, key).send(Ask("cairo-stamps", prompt = "recovery of ${entry.name}")).status shouldBe 200
            val id = "recovery-${entry.name}-${nowMs()}"
            val reply = caller(entry, key).call("POST", "/svc/cairo-service/registrations", """{"id":"$id"}""", "Idempotency-Key" to id)
            reply.status shouldBe 201
        }
    }
    eventually(RECOVERY) { entries.map { revisionOrNull(it) }.toSet().size shouldBe 1 }
}

private val RECOVERY = 15.seconds
