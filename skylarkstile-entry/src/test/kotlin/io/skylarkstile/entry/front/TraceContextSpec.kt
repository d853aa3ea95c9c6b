/*
 * Tests that the request id and trace context pass through the HTTP front end. Guards against traces that end at an entry instance.
 */
package io.skylarkstile.entry.front

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldMatch
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.skylarkstile.core.dispatch.DispatchEvent
import io.skylarkstile.core.ledger.RunResult
import io.skylarkstile.core.limit.Admission
import io.skylarkstile.core.limit.AdmissionLimiter
import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.entry.ledger.FakeClient
import io.skylarkstile.entry.ledger.httpServiceCaller
import io.skylarkstile.entry.ledger.serviceTarget
import io.skylarkstile.entry.limit.FixedCluster
import io.skylarkstile.entry.limit.FixedSnapshots
import io.skylarkstile.entry.target.ServiceReplicas
import io.skylarkstile.schema.generated.AdapterRecord
import io.skylarkstile.schema.generated.Dispatch
import io.skylarkstile.schema.generated.DispatchEnd
import io.skylarkstile.schema.generated.KeyRecord
import io.skylarkstile.schema.generated.LedgerAnswer
import io.skylarkstile.schema.generated.RouteRecord
import io.skylarkstile.schema.generated.VersionRecord
import io.skylarkstile.schema.generated.WorkspaceRecord
import io.skylarkstile.transport.http.HttpHeaders
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.headersOf
import kotlinx.coroutines.flow.flowOf

private val TRACE = "00-${"a".repeat(32)}-${"b".repeat(16)}-01"
private val FORM = Regex("00-[0-9a-f]{32}-[0-9a-f]{16}-01")
private val SNAPSHOT =
    Snapshot(
        revision = 1,
        workspaces = mapOf("glass" to WorkspaceRecord(2, 10.0, 10.0, 100.0, 100.0)),
        keys = mapOf("k1" to KeyRecord(1, "glass", "0".repeat(32), "0".repeat(64))),
        adapters = mapOf("captions" to AdapterRecord(1, "glass", "base", "v1")),
        versions = mapOf("captions@v1" to VersionRecord(1, "captions", "/weights/captions@v1")),
        routes = mapOf("registry" to RouteRecord(1, RouteRecord.Type.Service, "glass", service = "svc")),
        targets = mapOf("near" to serviceTarget("near:1", "dc")),
    )

private object Unlimited : AdmissionLimiter {
    override suspend fun admit(
        workspace: String,
        tokens: Int,
    ): Admission = object : Admission.Admitted {
        override fun settle(generatedTokens: Int) = Unit

        override fun cancel() = Unit
    }
}

private class RecordingRunner : ModelRunner {
    val requests = mutableListOf<Dispatch>()

    override fun run(request: Dispatch) = flowOf(
        DispatchEvent.Head(200, "application/json"),
        DispatchEvent.Chunk("{}".toByteArray()),
        DispatchEvent.End(DispatchEnd(DispatchEnd.Outcome.Done)),
    ).also { requests += request }

    override fun likelyOwnerOrNull(
        adapter: String,
        version: String,
    ): String? = null
}

/** Provides a front end with a service replica behind [client] and a ledger that makes each call at once. */
private class TracedFront {
    val client = FakeClient()
    val runner = RecordingRunner()
    private val snapshots = FixedSnapshots(SNAPSHOT)
    private val replicas = ServiceReplicas(snapshots, "dc")
    private val caller = httpServiceCaller(client, replicas, 1_000)
    private val ledger =
        LedgerRunner { call ->
            val result = caller.run(call, 1_000) { true } as RunResult.Answered
            LedgerAnswer(LedgerAnswer.Outcome.Done, false, status = result.status, contentType = result.contentType, body = result.body)
        }
    private val metrics = FrontMetrics(PrometheusRegistry())
    private val running = RunningCalls()
    private val front =
        FrontHandler(
            snapshots,
            { _, _ -> "k1" },
            FixedCluster("i1", listOf("i1")),
            runner,
            ModelCalls(Unlimited, runner, running, metrics, ModelCallSettings(16, 1_000)) { 0 },
            ServiceCalls(client, replicas, Unlimited, ledger, running, metrics, ServiceCallSettings(1_000, 1_000)) { 0 },
            5_000,
        ) { null }

    /** Returns the headers of the answer. */
    suspend fun call(
        method: String,
        path: String,
        body: String = "",
    ): HttpHeaders {
        val headers = headersOf("authorization" to "Bearer sk-k1-x", "x-request-id" to "r9", "traceparent" to TRACE)
        return front.handle(HttpRequest(method, path, headers = headers, body = body.toByteArray())).headers
    }
}

private fun HttpHeaders.ids() = listOf(this["x-request-id"], this["traceparent"])

class TraceContextSpec :
    FunSpec({
        test("request id and trace context reach a service directly and through the ledger, and come back") {
            val front = TracedFront()
            for (method in listOf("GET", "POST")) {
                front.call(method, "/svc/registry/x").ids() shouldBe listOf("r9", TRACE)
                front.client.sent
                    .last()
                    .second.headers
                    .ids() shouldBe listOf("r9", TRACE)
            }
            front.client.sent.size shouldBe 2
        }

        test("request id and trace context reach the runner of a model request and come back, also with a refusal") {
            val front = TracedFront()
            front.call("POST", "/v1/completions", """{"model":"captions","prompt":"x"}""").ids() shouldBe listOf("r9", TRACE)
            front.runner.requests
                .single()
                .let { listOf(it.requestId, it.traceparent) } shouldBe listOf("r9", TRACE)
            front.call("POST", "/v1/completions", "{").ids() shouldBe listOf("r9", TRACE)
        }

        test("a missing traceparent is generated and an invalid one replaced") {
            val zeroTrace = "00-${"0".repeat(32)}-${"b".repeat(16)}-01"
            val zeroSpan = "00-${"a".repeat(32)}-${"0".repeat(16)}-01"
            for (bad in listOf(null, "", "x", TRACE.uppercase(), "$TRACE-more", "ff" + TRACE.drop(2), zeroTrace, zeroSpan)) {
                val headers = if (bad == null) HttpHeaders() else headersOf("traceparent" to bad)
                val ids = requestIds(HttpRequest("GET", "/", headers = headers))
                ids.traceparent shouldMatch FORM
                ids.traceparent shouldNotBe bad
            }
        }
    })
