/*
 * Traffic and checks that the proofs of the promises share.
 */
package io.skylarkstile.tests.proof

import io.kotest.assertions.withClue
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.skylarkstile.bench.fleet.EntryInstance
import io.skylarkstile.bench.fleet.Fleet
import io.skylarkstile.tests.harness.Ask
import io.skylarkstile.tests.harness.Caller
import io.skylarkstile.tests.harness.Reply
import kotlinx.coroutines.delay
import kotlin.random.Random

/** Pause after a refusal, so that callers do not keep the machine busy with repeats. */
private const val REFUSED_PAUSE_MS = 20L
private const val ADMISSION_TIMEOUT_MS = 10_000L

/** A live instance answers within this time also on a busy machine, in milliseconds. */
private const val DUMP_TIMEOUT_MS = 5_000L

/** One request, the time at which it was sent (milliseconds of [nowMs]) and its answer. */
internal data class Exchange(
    val ask: Ask,
    val sentAt: Long,
    val reply: Reply,
)

internal fun nowMs(): Long = System.nanoTime() / 1_000_000

/** Prints and returns the seed of a proof, so that its requests can be repeated with `-Dproof.seed`. */
internal fun proofSeed(proof: String): Long = (System.getProperty("proof.seed")?.toLong() ?: Random.nextLong()).also {
    println("$proof seed $it")
}

/** Sends what [next] returns, one request after the other, until [until] says stop; refusals and errors are kept too. */
internal suspend fun Caller.sendUntil(
    until: () -> Boolean,
    next: () -> Ask,
): List<Exchange> {
    val exchanges = ArrayList<Exchange>()
    while (!until()) {
        val ask = next()
        val sentAt = nowMs()
        val reply = send(ask)
        exchanges += Exchange(ask, sentAt, reply)
        if (!reply.whole || reply.status != 200) delay(REFUSED_PAUSE_MS)
    }
    return exchanges
}

/** Repeats [ask] while it is refused as not run, since the buckets of a new instance start empty. */
internal suspend fun Caller.sendAdmitted(ask: Ask): Reply {
    val end = nowMs() + ADMISSION_TIMEOUT_MS
    while (true) {
        val reply = send(ask)
        if (reply.outcome != "not-run" || nowMs() > end) return reply
        delay(REFUSED_PAUSE_MS)
    }
}

/** Fails when this answer is neither whole nor marked as failed: a refusal, an `error` event or a broken connection. */
internal fun Exchange.shouldBeWholeOrExplicit() = withClue("answer to $ask: $reply") {
    if (reply.status == 200 && !reply.whole) (reply.problem ?: reply.failure).shouldNotBeNull()
}

/**
 * Returns the state dump of [entry]. One that doesn't answer fails the test: an empty dump would look like that of an instance that owns
 * nothing, as it did where the machine was so busy that the dumps of all instances took more than half a second.
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
