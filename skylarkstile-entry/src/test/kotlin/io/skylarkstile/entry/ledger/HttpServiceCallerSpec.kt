package io.skylarkstile.entry.ledger

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.skylarkstile.core.ledger.RunResult
import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.entry.limit.FixedSnapshots
import io.skylarkstile.entry.target.ServiceReplicas
import io.skylarkstile.schema.generated.LedgerCall
import io.skylarkstile.transport.http.HttpClient

class HttpServiceCallerSpec :
    FunSpec({
        val snapshot =
            Snapshot(
                targets =
                    mapOf(
                        "away" to serviceTarget("away:1", "other"),
                        "draining" to serviceTarget("draining:1", "here", draining = true),
                        "leaving" to serviceTarget("leaving:1", "here"),
                        "near" to serviceTarget("near:1", "here"),
                    ),
                leavingTargets = setOf("leaving"),
            )
        val call = LedgerCall("r", "w", "route", "svc", "key", "POST", "/x?a=1", "text/plain", ByteArray(0), 1_000, "trace")

        fun caller(client: HttpClient) = httpServiceCaller(client, ServiceReplicas(FixedSnapshots(snapshot), "here"), 1_000)

        test("a call goes to a live replica of the same data centre with the idempotency key and no other caller field") {
            val client = FakeClient()
            caller(client).run(call, 1_000) { true }.shouldBeInstanceOf<RunResult.Answered>().status shouldBe 201
            val (address, request) = client.sent.single()
            address shouldBe "near:1"
            request.rawUri shouldBe "/x?a=1"
            request.headers.fields.map { it.first } shouldBe listOf("content-type", "idempotency-key", "x-request-id", "traceparent")
        }

        test("another replica is tried only when no byte was sent") {
            val client = FakeClient().apply { refusing += "near:1" }
            caller(client).run(call, 1_000) { true }.shouldBeInstanceOf<RunResult.Answered>()
            client.sent.single().first shouldBe "away:1"
            val resetting = FakeClient().apply { broken += "near:1" }
            caller(resetting).run(call, 1_000) { true }.shouldBeInstanceOf<RunResult.NoAnswer>()
            resetting.sent.size shouldBe 1
        }

        test("a call that exceeds its deadline has no answer when it was sent, and was not sent otherwise") {
            val client = FakeClient().apply { silent += "near:1" }
            caller(client).run(call, 50) { true }.shouldBeInstanceOf<RunResult.NoAnswer>()
            caller(FakeClient()).run(call, 50) { false }.shouldBeInstanceOf<RunResult.NotSent>()
        }
    })
