/*
 * Promises 8 and 9 through kills, pauses, lost answers and outages: guards against a second execution of an idempotency key and
 * against a `not-run` answer to an attempt that was executed.
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
                    val load = OnceLoad(this, key, seed)
                    coroutineScope {
                        val workers =
                            (1..ONCE_WORKERS).map { launch { load.callService(it) } } + (1..2).map { launch { load.askModel(it) } }
                        bringFaults(Random(seed))
                        load.stop()
                        workers.joinAll()
                    }
                    // The paused and the killed instance are members again, so each range has an owner.
                    delay(SETTLE_MS)
                    val repeats = load.repeatAll()
                    val byKey = executions("executionsByKey")
                    val byRequest = executions("executionsByRequest")
                    val doubled = byKey.filterValues { it > 1 }
                    val falseNotRun = load.notRun.filter { (byRequest[it] ?: 0) > 0 }
                    println("AtMostOnceProofSpec: ${load.summary()}, repeats ${repeats.values.groupingBy { it }.eachCount()}")
                    println("AtMostOnceProofSpec: ${doubled.size} doubled keys, ${falseNotRun.size} false not-run answers")

                    doubled.shouldBeEmpty()
                    falseNotRun.shouldBeEmpty()
                    load.wrong.shouldBeEmpty()
                    val executed = engineExecutions()
                    load.modelNotRun.filter { (executed[it] ?: 0) > 0 }.shouldBeEmpty()
                    repeats.values.toSet().forEach { it shouldBeIn listOf("done", "unknown") }
                    repeats.filter { it.value == "done" && byKey[it.key] != 1 }.shouldBeEmpty()
                    // Without these the faults did not meet the calls, and the checks above would show nothing.
                    load.notRun.size shouldBeGreaterThan 0
                    load.modelNotRun.size shouldBeGreaterThan 0
                    repeats.values.count { it == "unknown" } shouldBeGreaterThan 0
                }
            }
        }
    })

/** Brings each fault while calls run; ends with a fleet that works. */
private suspend fun ProofFleet.bringFaults(random: Random) {
    val (paused, killed) = entries.shuffled(random)
    services.forEach { it.control.set("""{"delayMs":60}""") }
    delay(800)
    services.forEach { it.control.set("""{"dropAfter":2}""") }
    fleet.objects.set("""{"loseAnswers":3,"loseMode":"close"}""")
    delay(600)
    fleet.objects.set("""{"loseAnswers":3,"loseMode":"silent"}""")
    delay(1_200)
    // Longer than lease, suspicion and removal together, so that the ranges move while the old owner sleeps.
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
