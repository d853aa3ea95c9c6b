/*
 * Tests calls of plain services with a fake ledger.
 */
package io.skylarkstile.entry.front

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.skylarkstile.core.limit.Admission
import io.skylarkstile.core.limit.AdmissionLimiter
import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.entry.ledger.FakeClient
import io.skylarkstile.entry.ledger.httpServiceCaller
import io.skylarkstile.entry.ledger.serviceTarget
import io.skylarkstile.entry.limit.FixedSnapshots
import io.skylarkstile.entry.target.ServiceReplicas
import io.skylarkstile.schema.generated.KeyRecord
import io.skylarkstile.schema.generated.LedgerCall
import io.skylarkstile.schema.generated.RouteRecord
import io.skylarkstile.schema.generated.WorkspaceRecord
import io.skylarkstile.transport.http.HttpClient
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.bytes
import io.skylarkstile.transport.http.httpClient
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.seconds

class ServiceCallsSpec :
    FunSpec({
        val snapshot =
            Snapshot(
                revision = 1,
                workspaces = mapOf("glass" to WorkspaceRecord(2, 10.0, 10.0, 100.0, 100.0)),
                keys = mapOf("k1" to KeyRecord(1, "glass", "0".repeat(32), "0".repeat(64))),
                routes = mapOf("registry" to RouteRecord(1, RouteRecord.Type.Service, "glass", service = "registry")),
            )
        val ids = RequestIds("r-1", "00-${"a".repeat(32)}-${"b".repeat(16)}-01")
        var settled = 0
        val limiter =
            AdmissionLimiter { _, _ ->
                object : Admission.Admitted {
                    override fun settle(generatedTokens: Int) {
                        settled++
                    }

                    override fun cancel() = Unit
                }
            }

        fun calls(
            client: HttpClient,
            replicas: ServiceReplicas,
            running: RunningCalls = RunningCalls(),
            ledger: LedgerRunner = LedgerRunner { awaitCancellation() },
        ) = ServiceCalls(
            client,
            replicas,
            limiter,
            ledger,
            running,
            FrontMetrics(PrometheusRegistry()),
            ServiceCallSettings(1_000, 10_000),
        ) { 0 }

        test("a withdrawn key ends a running service call with an unknown outcome").config(timeout = 5.seconds) {
            httpClient(500).use { client ->
                val running = RunningCalls()
                val calls = calls(client, ServiceReplicas(FixedSnapshots(snapshot), "dc1"), running)
                launch {
                    while (running.count == 0) delay(5)
                    running.endCallsOfWithdrawnKeys(snapshot.copy(keys = emptyMap())) shouldBe 1
                }
                val answer =
                    calls.answer(
                        HttpRequest("POST", "/svc/registry/registrations"),
                        ids,
                        Caller.Authenticated("k1", "glass"),
                        snapshot,
                    )
                answer.status shouldBe 401
                answer.bytes().decodeToString() shouldContain "\"outcome\":\"unknown\""
                running.count shouldBe 0
                settled shouldBe 1
            }
        }

        // Guards against separate load counts of direct and ledger calls, which make each path choose a replica that the other keeps busy.
        test("direct calls and ledger calls take each other's load on a replica into account").config(timeout = 5.seconds) {
            val targets = mapOf("near" to serviceTarget("near:1", "dc1"), "away" to serviceTarget("away:1", "dc2"))
            val client = FakeClient().apply { silent += "near:1" }
            val replicas = ServiceReplicas(FixedSnapshots(Snapshot(targets = targets)), "dc1")
            val calls = calls(client, replicas)
            val ledger = httpServiceCaller(client, replicas, 1_000)
            val read = HttpRequest("GET", "/svc/registry/x")
            val registration = LedgerCall("r", "glass", "registry", "svc", "key", "POST", "/x", "text/plain", ByteArray(0), 1_000)
            val known = snapshot.copy(routes = snapshot.routes.mapValues { it.value.copy(service = "svc") })

            suspend fun FakeClient.untilSent(count: Int) {
                while (sent.size < count) delay(5)
            }

            val direct = launch { calls.answer(read, ids, Caller.Authenticated("k1", "glass"), known) }
            client.untilSent(1)
            ledger.run(registration, 1_000) { true }
            client.sent.map { it.first } shouldBe listOf("near:1", "away:1")
            direct.cancelAndJoin()

            val recorded = launch { ledger.run(registration, 10_000) { true } }
            client.untilSent(3)
            calls.answer(read, ids, Caller.Authenticated("k1", "glass"), known).status shouldBe 201
            client.sent.map { it.first }.drop(2) shouldBe listOf("near:1", "away:1")
            recorded.cancelAndJoin()
        }
    })
