/*
 * Tests an owner against the engine stand-in over loopback (promises 1, 2 and 7 of the design page), with outdated reports, few slots, a
 * restart, and answers that break off, contain chunks of another request or are cancelled.
 */
package io.skylarkstile.entry.target

import com.github.michaelbull.result.getOrElse
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import io.skylarkstile.core.cluster.Ownership
import io.skylarkstile.core.cluster.targetResource
import io.skylarkstile.schema.generated.Dispatch
import io.skylarkstile.schema.generated.DispatchEnd.Outcome
import io.skylarkstile.schema.generated.TargetRecord
import io.skylarkstile.standin.engine.EngineSettings
import io.skylarkstile.standin.engine.Generation
import io.skylarkstile.standin.engine.engineStandin
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.httpClient
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.take
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.int
import kotlin.random.Random

private const val TOKENS = 12

/** Length of an answer that takes 8 s, so that it is still running at the restart even on a slow machine. */
private const val LONG_TOKENS = 2_000

private class StandinFixture(
    scope: CoroutineScope,
    fencing: Boolean,
) : AutoCloseable {
    private val engine = engineStandin("127.0.0.1:0", EngineSettings(slots = 4, maxBatch = 8, fencing = fencing, stepMs = 4.0, loadMs = 20))
    private val http = httpClient(500)
    private val resource = targetResource("t1", "d1")
    private val record = TargetRecord(1, TargetRecord.Type.Engine, engine.address, "d1", 4, 8, fencing, false, "base")
    private val cluster = FakeCluster("e1").also { it.owners["target/t1"] = Ownership.Held(7) }
    private val env = TargetEnv(cluster, http, UnlimitedPermits, testSettings, 500, scope, clock)
    val owner = targetOwner(FakeSnapshots(testSnapshot(mapOf("t1" to record))), env).also { it.acquired(resource, 7) }

    suspend fun control(body: String) = http.call(engine.address, HttpRequest("POST", "/control", body = body.encodeToByteArray()), 1_000)

    suspend fun orders(name: String): Int {
        val answer = http.call(engine.address, HttpRequest("GET", "/control/state"), 1_000).getOrElse { error(it.detail) }
        val state = parseObjectOrNull(checkNotNull(readBody(answer)).decodeToString())
        return ((state?.get("orders") as JsonObject)[name] as JsonPrimitive).int
    }

    override fun close() {
        engine.close()
        http.close()
    }
}

private fun request(
    adapter: String,
    id: String,
    from: Int = 0,
    stream: Boolean = true,
    tokens: Int = TOKENS,
): Dispatch {
    val body = """{"model":"$adapter","prompt":"p-$id","max_tokens":$tokens,"stream":$stream}""".encodeToByteArray()
    return Dispatch(id, "t1", "w", 1.0, adapter, "1", "/weights/$adapter", "/v1/completions", body, stream, 20_000, from)
}

private fun expected(
    adapter: String,
    id: String,
    from: Int = 0,
) = Generation("$adapter@1", "/weights/$adapter", "p-$id", 0).text(from, TOKENS)

private suspend fun fixture(
    fencing: Boolean,
    block: suspend (StandinFixture) -> Unit,
) {
    val scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
    try {
        withTimeout(60_000) { StandinFixture(scope, fencing).use { block(it) } }
    } finally {
        scope.cancel()
    }
}

private suspend fun StandinFixture.checkTraffic(seed: Long): Int {
    val random = Random(seed)
    var done = 0
    repeat(6) { round ->
        control("""{"breakNext":2,"breakAfter":${random.nextInt(TOKENS)},"crossNext":2,"crossAfter":${random.nextInt(TOKENS)}}""")
        val plans = (1..25).map { Triple("r$round-$it", ('a' + random.nextInt(8)).toString(), random.nextInt(6)) }
        coroutineScope {
            plans
                .map { (id, adapter, kind) ->
                    async {
                        val events = owner.run(request(adapter, id, stream = kind != 1))
                        if (kind == 0) return@async 0.also { events.take(3).toList() }
                        val answer = answerOf(events)
                        withClue({ "$id on $adapter: ${answer.end}" }) {
                            if (answer.end.outcome == Outcome.Done) answer.text shouldBe expected(adapter, id)
                            expected(adapter, id) shouldStartWith answer.text
                        }
                        if (answer.end.outcome == Outcome.Done) 1 else 0
                    }
                }.awaitAll()
                .let { done += it.sum() }
        }
    }
    return done
}

class EngineStandinSpec :
    FunSpec({
        listOf(false, true).forEach { fencing ->
            test("each answer is whole or a prefix of the right one and no adapter in use is evicted, fencing $fencing") {
                fixture(fencing) { fixture ->
                    val done = fixture.checkTraffic(20_261_204)
                    println(
                        "EngineStandinSpec: fencing $fencing, $done of 150 done, ${fixture.orders(
                            "loads",
                        )} loads, ${fixture.orders("unloads")} unloads",
                    )
                    done shouldBeGreaterThan 90
                    fixture.orders("unloads") shouldBeGreaterThan 5
                    fixture.orders("evictionsInUse") shouldBe 0
                }
            }
        }

        test("a resumed stream begins with the first missing token") {
            fixture(false) { fixture -> answerOf(fixture.owner.run(request("a", "r1", from = 5))).text shouldBe expected("a", "r1", 5) }
        }

        test("after a restart the running stream ends with an error and the next request is served").config(invocations = 20) {
            fixture(true) { fixture ->
                coroutineScope {
                    val running = async { answerOf(fixture.owner.run(request("a", "r1", tokens = LONG_TOKENS))) }
                    until("running request") { fixture.owner.stateOrNull("t1")!!.running == 1 }
                    delay(15)
                    fixture.control("""{"action":"restart"}""")
                    running.await().end.outcome shouldBe Outcome.Unknown
                }
                answerOf(fixture.owner.run(request("a", "r2"))).text shouldBe expected("a", "r2")
            }
        }
    })
