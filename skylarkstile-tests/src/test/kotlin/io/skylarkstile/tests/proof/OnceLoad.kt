/*
 * Traffic for the promises on executions: calls that may not be repeated, and model requests with known ids.
 */
package io.skylarkstile.tests.proof

import io.skylarkstile.tests.harness.Ask
import io.skylarkstile.tests.harness.Reply
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random

/** Concurrent callers of plain services in one proof. */
internal const val ONCE_WORKERS = 6
private const val IDLE_MS = 2_500L

/** Calls with new keys through random instances; each call without an answer is repeated through another one. */
internal class OnceLoad(
    private val proof: ProofFleet,
    private val key: String,
    private val seed: Long,
) {
    val notRun = ConcurrentLinkedQueue<String>()
    val modelNotRun = ConcurrentLinkedQueue<String>()

    /** Answers that look whole but are not the text of the adapter that was asked. */
    val wrong = ConcurrentLinkedQueue<String>()
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
                    both(id, order.map(proof.entries::indexOf))
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
            val ask = Ask("cairo-stamps", prompt = request, stream = random.nextBoolean())
            val reply = caller.send(ask, "X-Request-Id" to request)
            if (reply.outcome == "not-run") modelNotRun += request
            if (reply.status == 200 && reply.whole && reply.text != ask.expected("1")) wrong += "$request: ${reply.text}"
            outcomes.merge("model-${outcomeOf(reply)}", 1, Int::plus)
            delay(random.nextLong(20, 60))
        }
    }

    /** Repeats each key once more and returns the outcomes by key. */
    suspend fun repeatAll(): Map<String, String> = coroutineScope {
        val chunks = keys.chunked(keys.size / ONCE_WORKERS + 1)
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
