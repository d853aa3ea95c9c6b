/*
 * Calls of plain services through the front, with a scripted ledger.
 */
package io.skylarkstile.entry.front

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.skylarkstile.core.limit.Admission
import io.skylarkstile.core.limit.AdmissionLimiter
import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.schema.generated.KeyRecord
import io.skylarkstile.schema.generated.RouteRecord
import io.skylarkstile.schema.generated.WorkspaceRecord
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.bytes
import io.skylarkstile.transport.http.httpClient
import kotlinx.coroutines.awaitCancellation
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

        test("a withdrawn key ends a running call of a service, which may have run").config(timeout = 5.seconds) {
            httpClient(500).use { client ->
                val running = RunningCalls()
                val settings = ServiceCallSettings("dc1", 1_000, 10_000)
                val calls =
                    ServiceCalls(client, limiter, { awaitCancellation() }, running, FrontMetrics(PrometheusRegistry()), settings) { 0 }
                launch {
                    while (running.count == 0) delay(5)
                    running.endWithdrawn(snapshot.copy(keys = emptyMap())) shouldBe 1
                }
                val answer = calls.answer(HttpRequest("POST", "/svc/registry/registrations"), ids, Caller.Known("k1", "glass"), snapshot)
                answer.status shouldBe 401
                answer.bytes().decodeToString() shouldContain "\"outcome\":\"unknown\""
                running.count shouldBe 0
                settled shouldBe 1
            }
        }
    })
