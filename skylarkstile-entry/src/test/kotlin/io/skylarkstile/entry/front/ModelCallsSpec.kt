/*
 * Tests completion requests with a scripted runner in place of the targets.
 */
package io.skylarkstile.entry.front

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.skylarkstile.core.dispatch.DispatchEvent
import io.skylarkstile.core.limit.Admission
import io.skylarkstile.core.limit.AdmissionLimiter
import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.schema.generated.AdapterRecord
import io.skylarkstile.schema.generated.Dispatch
import io.skylarkstile.schema.generated.DispatchEnd
import io.skylarkstile.schema.generated.KeyRecord
import io.skylarkstile.schema.generated.RouteRecord
import io.skylarkstile.schema.generated.VersionRecord
import io.skylarkstile.schema.generated.WorkspaceRecord
import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.bytes
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.seconds

private val SNAPSHOT =
    Snapshot(
        revision = 1,
        workspaces = mapOf("glass" to WorkspaceRecord(2, 10.0, 10.0, 100.0, 100.0), "ledgers" to WorkspaceRecord(2, 1.0, 1.0, 1.0, 1.0)),
        keys = mapOf("k1" to KeyRecord(1, "glass", "0".repeat(32), "0".repeat(64))),
        adapters = mapOf("captions" to AdapterRecord(1, "glass", "base", "v2"), "private" to AdapterRecord(1, "ledgers", "base", "v1")),
        versions =
            listOf("captions@v1", "captions@v2", "private@v1").associateWith { VersionRecord(1, it.substringBefore('@'), "/weights/$it") },
        routes = mapOf("shared" to RouteRecord(1, RouteRecord.Type.Model, "ledgers", open = true, adapter = "private")),
    )
private val GLASS = Caller.Authenticated("k1", "glass")
private val IDS = RequestIds("r-1", "00-${"a".repeat(32)}-${"b".repeat(16)}-01")

private class RecordingLimiter : AdmissionLimiter {
    var refusal: Admission.Refused? = null
    val settled = mutableListOf<Int>()
    var cancelled = 0

    override suspend fun admit(
        workspace: String,
        tokens: Int,
    ): Admission = refusal ?: object : Admission.Admitted {
        override fun settle(generatedTokens: Int) {
            settled += generatedTokens
        }

        override fun cancel() {
            cancelled++
        }
    }
}

private class ScriptedRunner(
    private val script: (Dispatch) -> Flow<DispatchEvent>,
) : ModelRunner {
    val seen = mutableListOf<Dispatch>()

    override fun run(request: Dispatch): Flow<DispatchEvent> = script(request.also { seen += it })

    override fun likelyOwnerOrNull(
        adapter: String,
        version: String,
    ): String? = null
}

private class ModelCallsFixture(
    script: (Dispatch) -> Flow<DispatchEvent>,
) {
    val limiter = RecordingLimiter()
    val runner = ScriptedRunner(script)
    val running = RunningCalls()
    val calls = ModelCalls(limiter, runner, running, FrontMetrics(PrometheusRegistry()), ModelCallSettings(16, 1_000)) { 0 }

    suspend fun post(
        body: String,
        caller: Caller = GLASS,
    ): HttpAnswer = calls.answer(HttpRequest("POST", "/v1/completions", body = body.toByteArray()), IDS, caller, SNAPSHOT)
}

private fun sse(text: String) = DispatchEvent.Chunk("data: {\"choices\":[{\"text\":\"$text\"}]}\n\n".toByteArray())

private fun end(
    outcome: DispatchEnd.Outcome,
    reason: String? = null,
) = DispatchEvent.End(DispatchEnd(outcome, reason = reason))

private val STREAM_HEAD = DispatchEvent.Head(200, "text/event-stream")

class ModelCallsSpec :
    FunSpec({
        test("runs the active version when the request names none, and the named one otherwise") {
            val fixture =
                ModelCallsFixture {
                    flow {
                        emit(DispatchEvent.Head(200, "application/json"))
                        emit(end(DispatchEnd.Outcome.Done))
                    }
                }
            fixture.post("""{"model":"captions","prompt":"x"}""").bytes()
            fixture.post("""{"model":"captions@v1","prompt":"x"}""").bytes()
            fixture.runner.seen.map { it.version } shouldBe listOf("v2", "v1")
            fixture.runner.seen
                .last()
                .body
                .decodeToString() shouldContain "\"max_tokens\":16"
        }

        test("hides adapters of other workspaces and lets open routes through") {
            val fixture =
                ModelCallsFixture {
                    flow {
                        emit(DispatchEvent.Head(200, "application/json"))
                        emit(end(DispatchEnd.Outcome.Done))
                    }
                }
            fixture.post("""{"model":"private","prompt":"x"}""").status shouldBe 404
            fixture.post("""{"model":"captions","prompt":"x"}""", Caller.Anonymous).status shouldBe 401
            fixture.post("""{"model":"shared","prompt":"x"}""", Caller.Anonymous).status shouldBe 200
            fixture.runner.seen
                .single()
                .workspace shouldBe "ledgers"
        }

        test("returns the charge of a request that did not run, and only unused tokens of one that ran") {
            val refused = ModelCallsFixture { flow { emit(end(DispatchEnd.Outcome.NotRun, "queue-full")) } }
            val answer = refused.post("""{"model":"captions","prompt":"x"}""")
            answer.status shouldBe 503
            answer.bytes().decodeToString() shouldContain "\"outcome\":\"not-run\""
            refused.limiter.cancelled shouldBe 1
            val ran =
                ModelCallsFixture {
                    flow {
                        emit(STREAM_HEAD)
                        repeat(3) { emit(sse("t$it")) }
                        emit(end(DispatchEnd.Outcome.Done))
                    }
                }
            ran.post("""{"model":"captions","prompt":"x","stream":true}""").bytes()
            ran.limiter.settled shouldBe listOf(3)
        }

        test("ends a broken stream with an error event instead of a silent short answer") {
            val fixture =
                ModelCallsFixture {
                    flow {
                        emit(STREAM_HEAD)
                        emit(sse("t0"))
                        emit(end(DispatchEnd.Outcome.Unknown, "target-lost"))
                    }
                }
            val text = fixture.post("""{"model":"captions","prompt":"x","stream":true}""").bytes().decodeToString()
            text shouldContain "event: error"
            text shouldContain "\"outcome\":\"unknown\""
            text shouldNotContain "[DONE]"
        }

        test("ends the running stream of a withdrawn key").config(timeout = 5.seconds) {
            val fixture =
                ModelCallsFixture {
                    flow {
                        emit(STREAM_HEAD)
                        emit(sse("t0"))
                        awaitCancellation()
                    }
                }
            val answer = fixture.post("""{"model":"captions","prompt":"x","stream":true}""")
            launch {
                delay(50)
                fixture.running.endCallsOfWithdrawnKeys(SNAPSHOT.copy(keys = emptyMap())) shouldBe 1
            }
            answer.bytes().decodeToString() shouldContain "key-withdrawn"
            fixture.running.count shouldBe 0
        }

        test("converts an exception of the run to an error response") {
            val fixture = ModelCallsFixture { flow { error("failing runner") } }
            fixture.post("""{"model":"captions","prompt":"x"}""").status shouldBe 502
        }

        test("rejects an invalid body with a message before anything is charged") {
            for (body in listOf("", "[]", "{", """{"prompt":"x"}""", """{"model":"captions"}""")) {
                parseCompletion(body.toByteArray(), 16, 1).get() shouldBe
                    null
            }
            parseCompletion("""{"model":"m","prompt":"x","n":2}""".toByteArray(), 16, 1).getError()!! shouldContain "'n'"
            parseCompletion("""{"model":"m","prompt":"x","max_tokens":0}""".toByteArray(), 16, 1).getError()!! shouldContain "max_tokens"
        }
    })
