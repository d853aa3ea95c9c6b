/*
 * Verifies promises 8 and 9 during kills, pauses, lost responses and platform outages. Guards against executing an idempotency key twice
 * and against answering `not-run` to an attempt that was executed.
 */
package io.skylarkstile.tests.proof

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.maps.shouldBeEmpty
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlin.random.Random

class AtMostOnceProofSpec :
    FunSpec({
        test("no idempotency key runs twice and no attempt with a not-run answer runs, through faults and repeats at other instances") {
            val seed = Random.nextLong()
            println("AtMostOnceProofSpec: seed $seed")
            withClue("seed $seed") {
                withProofFleet("proof-once") {
                    val key = fleet.records.key("cairo-1", "cairo")
                    val load = AtMostOnceLoad(this, key, seed)
                    coroutineScope {
                        val workers =
                            (1..ONCE_WORKERS).map { launch { load.callService(it) } } + (1..2).map { launch { load.callModel(it) } }
                        injectFaults(Random(seed))
                        load.stop()
                        workers.joinAll()
                    }
                    // Wait until the paused and the killed instance are members again and each range of keys has an owner.
                    delay(SETTLE_MS)
                    val retryOutcomes = load.retryAll()
                    val executionsByKey = executions("executionsByKey")
                    val executionsByRequest = executions("executionsByRequest")
                    val executedTwice = executionsByKey.filterValues { it > 1 }
                    val falseNotRun = load.notRunServiceRequests.filter { (executionsByRequest[it] ?: 0) > 0 }
                    println("AtMostOnceProofSpec: ${load.summary()}, repeats ${retryOutcomes.values.groupingBy { it }.eachCount()}")
                    println("AtMostOnceProofSpec: ${executedTwice.size} keys executed twice, ${falseNotRun.size} false not-run answers")

                    executedTwice.shouldBeEmpty()
                    falseNotRun.shouldBeEmpty()
                    load.mismatches.shouldBeEmpty()
                    val executed = engineExecutions()
                    load.notRunModelRequests.filter { (executed[it] ?: 0) > 0 }.shouldBeEmpty()
                    retryOutcomes.values.toSet().forEach { it shouldBeIn listOf("done", "unknown") }
                    retryOutcomes.filter { it.value == "done" && executionsByKey[it.key] != 1 }.shouldBeEmpty()
                    // Ensure that the faults affected some calls; otherwise the checks above would pass without testing anything.
                    load.notRunServiceRequests.size shouldBeGreaterThan 0
                    load.notRunModelRequests.size shouldBeGreaterThan 0
                    retryOutcomes.values.count { it == "unknown" } shouldBeGreaterThan 0
                }
            }
        }
    })

/** Injects each fault while calls run and leaves a working fleet. */
private suspend fun ProofFleet.injectFaults(random: Random) {
    val (paused, killed) = entries.shuffled(random)
    services.forEach { it.control.set("""{"delayMs":60}""") }
    delay(800)
    services.forEach { it.control.set("""{"dropAfter":2}""") }
    fleet.objects.set("""{"loseAnswers":3,"loseMode":"close"}""")
    delay(600)
    fleet.objects.set("""{"loseAnswers":3,"loseMode":"silent"}""")
    delay(1_200)
    // Longer than lease, suspicion and removal together, so that the ranges move to other owners while the old owner is paused.
    paused.process.pause()
    delay(6_500)
    paused.process.resume()
    engine.control.set("""{"rejectNext":2,"breakNext":2}""")
    delay(1_000)
    fleet.objects.set("""{"outage":"unavailable"}""")
    delay(1_200)
    fleet.objects.set("""{"outage":"none"}""")
    killed.process.kill()
    killed.process.start().awaitReady()
}

private const val SETTLE_MS = 1_000L
