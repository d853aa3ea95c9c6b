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
import io.skylarkstile.tests.harness.Ask
import io.skylarkstile.tests.harness.Reply
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
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
                        val workers = (1..WORKERS).map { launch { load.callService(it) } } + (1..2).map { launch { load.askModel(it) } }
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

/** Calls with new keys through random instances; each call without an answer is repeated through another one. */
private class OnceLoad(
    private val proof: ProofFleet,
    private val key: String,
    private val seed: Long,
) {
    val notRun = ConcurrentLinkedQueue<String>()
    val modelNotRun = ConcurrentLinkedQueue<String>()
    private val outcomes = ConcurrentHashMap<String, Int>()
    private val keys = ConcurrentLinkedQueue<String>()

    @Volatile
    private var running = true

    fun stop() {
        running = false
    }

    fun summary() = "${keys.size} keys, attempts ${outcomes.toSortedMap()}"

    suspend fun callService(worker: Int) {
        val random = Random(seed + worker)
        var number = 0
        while (running) {
            val id = "w$worker-${number++}"
            keys += id
            val order = proof.entries.shuffled(random)
            // Every fourth key is used through two instances at once.
            val first =
                if (number % 4 ==
                    0
                ) {
                    both(id, order.map { proof.entries.indexOf(it) })
                } else {
                    attempt(id, proof.entries.indexOf(order[0]), "a")
                }
            if (first != "done") attempt(id, proof.entries.indexOf(order[1]), "b")
            delay(random.nextLong(20, 60))
        }
    }

    suspend fun askModel(worker: Int) {
        val random = Random(seed - worker)
        var number = 0
        while (running) {
            val request = "m$worker-${number++}"
            val caller = proof.caller(proof.entries.random(random), key, IDLE_MS)
            val reply = caller.send(Ask("cairo-stamps", prompt = request, stream = random.nextBoolean()), "X-Request-Id" to request)
            if (reply.outcome == "not-run") modelNotRun += request
            outcomes.merge("model-${outcomeOf(reply)}", 1, Int::plus)
            delay(random.nextLong(20, 60))
        }
    }

    /** Repeats each key once more and returns the outcomes by key. */
    suspend fun repeatAll(): Map<String, String> = coroutineScope {
        val chunks = keys.chunked(keys.size / WORKERS + 1)
        chunks
            .map { part ->
                async { part.map { it to attempt(it, Random.nextInt(proof.entries.size), "z") } }
            }.awaitAll()
            .flatten()
            .toMap()
    }

    private suspend fun both(
        id: String,
        order: List<Int>,
    ): String = coroutineScope {
        val answers = listOf(async { attempt(id, order[0], "a") }, async { attempt(id, order[2], "c") }).awaitAll()
        if ("done" in answers) "done" else answers[0]
    }

    private suspend fun attempt(
        id: String,
        entry: Int,
        suffix: String,
    ): String {
        val request = "$id-$suffix"
        val caller = proof.caller(proof.entries[entry], key, IDLE_MS)
        val reply =
            caller.call("POST", "/svc/cairo-service/registrations", """{"id":"$id"}""", "Idempotency-Key" to id, "X-Request-Id" to request)
        val outcome = outcomeOf(reply)
        if (outcome == "not-run") notRun += request
        outcomes.merge(outcome, 1, Int::plus)
        return outcome
    }

    private fun outcomeOf(reply: Reply): String = reply.outcome ?: if (reply.status in 200..299) "done" else "none-${reply.status}"
}

private const val WORKERS = 6
private const val IDLE_MS = 2_500L
private const val SETTLE_MS = 1_000L
