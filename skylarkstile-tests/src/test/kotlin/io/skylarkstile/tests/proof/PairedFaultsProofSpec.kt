/*
 * Verifies promises 1, 2, 7, 8, 9 and 12 while two faults overlap. Guards against recovery mechanisms that handle one fault only as long
 * as another part of the fleet still works.
 */
package io.skylarkstile.tests.proof

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.skylarkstile.tests.harness.ModelRequest
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Number of fault pairs in one run; `-Dproof.pairs` overrides it for longer runs. */
private val pairs = System.getProperty("proof.pairs")?.toInt() ?: 3

/** Seed of the sequence of fault pairs; fixed by default, `-Dproof.seed` overrides it. */
private val pairSeed = System.getProperty("proof.seed")?.toLong() ?: 20261204L

/** Longest time between the two faults of a pair; shorter than a lease. */
private const val LARGEST_OFFSET_MS = 1_500L

/** Time that both faults last; longer than a lease with its guard time, so that ownership moves during the faults. */
private const val FAULT_DURATION_MS = 4_000L

class PairedFaultsProofSpec :
    FunSpec({
        test(
            "two overlapping faults run no key twice, execute no request answered not-run, mix no answers, and the fleet recovers",
        ) {
            val random = Random(pairSeed)
            withProofFleet("proof-pairs") {
                val key = fleet.records.key("cairo-1", "cairo")
                val load = AtMostOnceLoad(this, key, pairSeed)
                val injected = ArrayList<String>()
                withClue({ "seed $pairSeed, pairs $injected" }) {
                    coroutineScope {
                        val workers =
                            (1..ONCE_WORKERS).map { launch { load.callService(it) } } + (1..2).map { launch { load.callModel(it) } }
                        repeat(pairs) {
                            val pair = faults(random).shuffled(random).take(2)
                            injected += pair.joinToString(" + ")
                            println("PairedFaultsProofSpec: ${pair.joinToString(" + ")}")
                            inject(pair, random)
                            awaitRecovery(key)
                        }
                        load.stop()
                        workers.joinAll()
                    }
                    println("PairedFaultsProofSpec: ${load.summary()}")
                    val executed = executions("executionsByRequest")
                    val executedByEngine = engineExecutions()
                    executions("executionsByKey").filterValues { it > 1 }.shouldBeEmpty()
                    load.notRunServiceRequests.filter { (executed[it] ?: 0) > 0 }.shouldBeEmpty()
                    load.notRunModelRequests.filter { (executedByEngine[it] ?: 0) > 0 }.shouldBeEmpty()
                    load.mismatches.shouldBeEmpty()
                    engine.control.value("orders", "evictionsInUse") shouldBe "0"
                }
            }
        }
    })

private suspend fun ProofFleet.inject(
    pair: List<Fault>,
    random: Random,
) {
    pair.first().inject()
    delay(random.nextLong(LARGEST_OFFSET_MS))
    pair.last().inject()
    delay(FAULT_DURATION_MS)
    pair.shuffled(random).forEach { it.heal() }
    fleet.proxy.set("""{"links":["peers-*","platform-*","target-*"],"heal":true}""")
}

/** Waits until every instance serves a model request and a non-repeatable service call, and all have the same revision. */
private suspend fun ProofFleet.awaitRecovery(key: String) {
    for (entry in entries) {
        eventually(RECOVERY_TIMEOUT) {
            caller(entry, key).send(ModelRequest("cairo-stamps", prompt = "recovery of ${entry.name}")).status shouldBe 200
            val id = "recovery-${entry.name}-${nowMs()}"
            val reply = caller(entry, key).call("POST", "/svc/cairo-service/registrations", """{"id":"$id"}""", "Idempotency-Key" to id)
            reply.status shouldBe 201
        }
    }
    eventually(RECOVERY_TIMEOUT) { entries.map { revisionOrNull(it) }.toSet().size shouldBe 1 }
}

private val RECOVERY_TIMEOUT = 15.seconds
