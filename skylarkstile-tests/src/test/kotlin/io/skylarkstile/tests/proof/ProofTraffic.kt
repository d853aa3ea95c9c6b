/*
 * Request loops, checks and lookups that the specs of the promises share.
 */
package io.skylarkstile.tests.proof

import io.kotest.assertions.withClue
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.skylarkstile.bench.fleet.EntryInstance
import io.skylarkstile.bench.fleet.Fleet
import io.skylarkstile.tests.harness.Caller
import io.skylarkstile.tests.harness.ModelRequest
import io.skylarkstile.tests.harness.Reply
import kotlinx.coroutines.delay
import kotlin.random.Random

/** Delay after a refusal, so that retrying callers do not use up the processor. */
private const val RETRY_DELAY_MS = 20L
private const val ADMISSION_TIMEOUT_MS = 10_000L

/** Time in milliseconds within which a live instance returns its state dump even on a busy machine. */
private const val DUMP_TIMEOUT_MS = 5_000L

/** One request, the time at which it was sent (milliseconds of [nowMs]) and its response. */
internal data class Exchange(
    val request: ModelRequest,
    val sentAt: Long,
    val reply: Reply,
)

internal fun nowMs(): Long = System.nanoTime() / 1_000_000

/** Returns and prints the seed of a spec, so that its requests can be reproduced with `-Dproof.seed`. */
internal fun proofSeed(proof: String): Long = (System.getProperty("proof.seed")?.toLong() ?: Random.nextLong()).also {
    println("$proof seed $it")
}

/** Sends the requests from [nextRequest] one after the other until [shouldStop] returns `true`; the result includes refusals and errors. */
internal suspend fun Caller.sendUntil(
    shouldStop: () -> Boolean,
    nextRequest: () -> ModelRequest,
): List<Exchange> {
    val exchanges = ArrayList<Exchange>()
    while (!shouldStop()) {
        val request = nextRequest()
        val sentAt = nowMs()
        val reply = send(request)
        exchanges += Exchange(request, sentAt, reply)
        if (!reply.complete || reply.status != 200) delay(RETRY_DELAY_MS)
    }
    return exchanges
}

/** Retries [request] while it is refused as `not-run`, because the token buckets of a new instance start empty. */
internal suspend fun Caller.sendAdmitted(request: ModelRequest): Reply {
    val end = nowMs() + ADMISSION_TIMEOUT_MS
    while (true) {
        val reply = send(request)
        if (reply.outcome != "not-run" || nowMs() > end) return reply
        delay(RETRY_DELAY_MS)
    }
}

/** Fails when the response is incomplete without a visible error: an error status, an `error` event or a broken connection. */
internal fun Exchange.shouldBeCompleteOrError() = withClue("response to $request: $reply") {
    if (reply.status == 200 && !reply.complete) (reply.problem ?: reply.failure).shouldNotBeNull()
}

/**
 * Returns the state dump of [entry] and fails the test when the instance doesn't answer. An empty dump would look like that of an instance
 * that owns no targets; this happened on a machine so busy that the dumps of all instances took more than half a second.
 */
internal suspend fun Fleet.dump(entry: EntryInstance): String {
    val reply = Caller(client, entry.addresses.admin, null, idleTimeoutMs = DUMP_TIMEOUT_MS).call("GET", "/dump")
    return withClue("dump of ${entry.name}: $reply") { reply.body.also { reply.status shouldBe 200 } }
}

/** Returns the instance among [entries] whose dump lists [target] among the targets it owns. */
internal suspend fun Fleet.ownerOrNull(
    entries: List<EntryInstance>,
    target: String,
): EntryInstance? {
    val owned = Regex(""""target":\s*"$target",\s*"epoch":\s*\d+,\s*"phase"""")
    return entries.firstOrNull { owned.containsMatchIn(dump(it)) }
}
