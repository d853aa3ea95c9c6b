/*
 * Load for the specs on at-most-once execution: service calls with idempotency keys, and model requests with known request ids.
 */
package io.skylarkstile.tests.proof

import io.skylarkstile.tests.harness.ModelRequest
import io.skylarkstile.tests.harness.Reply
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random

/** Concurrent callers of plain services in one spec. */
internal const val ONCE_WORKERS = 6
private const val IDLE_TIMEOUT_MS = 2_500L

/** Sends calls with new idempotency keys through random instances; a call that does not succeed is retried through another instance. */
internal class AtMostOnceLoad(
    private val proof: ProofFleet,
    private val key: String,
    private val seed: Long,
) {
    val notRunServiceRequests = ConcurrentLinkedQueue<String>()
    val notRunModelRequests = ConcurrentLinkedQueue<String>()

    /** Complete responses whose text is not the one that the requested adapter generates. */
    val mismatches = ConcurrentLinkedQueue<String>()
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
            // Every fourth key is sent through two instances concurrently.
            val firstOutcome =
                if (number % 4 ==
                    0
                ) {
                    attemptConcurrently(id, order.map(proof.entries::indexOf))
                } else {
                    attempt(id, proof.entries.indexOf(order[0]), "a")
                }
            if (firstOutcome != "done") attempt(id, proof.entries.indexOf(order[1]), "b")
            delay(random.nextLong(20, 60))
        }
    }

    suspend fun callModel(worker: Int) {
        val random = Random(seed - worker)
        var number = 0
        while (running) {
            val requestId = "m$worker-${number++}"
            val caller = proof.caller(proof.entries.random(random), key, IDLE_TIMEOUT_MS)
            val request = ModelRequest("cairo-stamps", prompt = requestId, stream = random.nextBoolean())
            val reply = caller.send(request, "X-Request-Id" to requestId)
            if (reply.outcome == "not-run") notRunModelRequests += requestId
            if (reply.status == 200 && reply.complete && reply.text != request.expected("1")) mismatches += "$requestId: ${reply.text}"
            outcomes.merge("model-${outcomeOf(reply)}", 1, Int::plus)
            delay(random.nextLong(20, 60))
        }
    }

    /** Sends each key once more and returns the outcomes by key. */
    suspend fun retryAll(): Map<String, String> = coroutineScope {
        val chunks = keys.chunked(keys.size / ONCE_WORKERS + 1)
        chunks
            .map { part ->
                async { part.map { it to attempt(it, Random.nextInt(proof.entries.size), "z") } }
            }.awaitAll()
            .flatten()
            .toMap()
    }

    private suspend fun attemptConcurrently(
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
        val requestId = "$id-$suffix"
        val caller = proof.caller(proof.entries[entry], key, IDLE_TIMEOUT_MS)
        val reply =
            caller.call(
                "POST",
                "/svc/cairo-service/registrations",
                """{"id":"$id"}""",
                "Idempotency-Key" to id,
                "X-Request-Id" to requestId,
            )
        val outcome = outcomeOf(reply)
        if (outcome == "not-run") notRunServiceRequests += requestId
        outcomes.merge(outcome, 1, Int::plus)
        return outcome
    }

    private fun outcomeOf(reply: Reply): String = reply.outcome ?: if (reply.status in 200..299) "done" else "none-${reply.status}"
}
