/*
 * Golden-file test that runs a complete session of callers against real processes. Guards against unintended changes to the status,
 * outcome, headers and body of the responses that callers rely on.
 */
package io.skylarkstile.tests.golden

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.skylarkstile.bench.fleet.Fleet
import io.skylarkstile.tests.harness.Caller
import kotlin.time.Duration.Companion.seconds

private val REQUEST_ID_HEADER = "X-Request-Id" to "r-1"
private const val STAMPS_BODY_PREFIX = """{"model":"stamps","prompt":"read this plate","max_tokens":4,"seed":7"""

class CallerSessionSpec :
    FunSpec({
        test("a session of callers gives the answers of the golden file") {
            Fleet("golden").use { fleet ->
                fleet.start()
                fleet.records.workspace("cairo")
                fleet.records.workspace("perth")
                fleet.records.adapter("stamps", "cairo")
                fleet.records.adapter("read-outs", "perth")
                fleet.records.serviceRoute("registry", "cairo", "registry")
                fleet.records.serviceRoute("holds", "perth", "bridge")
                val cairo = fleet.records.key("cairo-1", "cairo")
                val withdrawn = fleet.records.key("cairo-2", "cairo")
                val perth = fleet.records.key("perth-1", "perth")
                fleet.records.withdrawKey("cairo-2")
                fleet.engine("engine-1")
                fleet.service("registry-1", "registry")
                val entry = fleet.entry("entry-1")
                val session = Session(fleet, entry.process.address, cairo)
                session.awaitAvailability()
                session.modelCalls()
                session.serviceCalls()
                session.refusals(Caller(fleet.client, entry.process.address, perth), Caller(fleet.client, entry.process.address, withdrawn))
                session.operatorCalls(Caller(fleet.client, entry.addresses.admin, null))
                session.transcript.shouldMatch("callers.txt")
            }
        }
    })

private class Session(
    private val fleet: Fleet,
    private val address: String,
    key: String,
) {
    val transcript = Transcript()
    private val cairo = Caller(fleet.client, address, key)

    /** Retries until a new instance has received its share of the request rate and the targets have owners; earlier calls may fail. */
    suspend fun awaitAvailability() = eventually(15.seconds) {
        cairo.call("POST", "/v1/completions", "$STAMPS_BODY_PREFIX}").status shouldBe 200
        cairo.call("GET", "/svc/registry/registrations").status shouldBe 200
    }

    suspend fun modelCalls() {
        sendAsCairo("GET", "/v1/models")
        sendAsCairo("GET", "/v1/address?model=stamps")
        sendAsCairo("POST", "/v1/completions", "$STAMPS_BODY_PREFIX}")
        sendAsCairo("POST", "/v1/completions", """{"model":"stamps@1","prompt":"read this plate","max_tokens":4,"seed":7}""")
        sendAsCairo("POST", "/v1/completions", """$STAMPS_BODY_PREFIX,"stream":true}""")
        sendAsCairo(
            "POST",
            "/v1/chat/completions",
            """{"model":"stamps","messages":[{"role":"user","content":"read this plate"}],"max_tokens":4,"seed":7}""",
        )
    }

    suspend fun serviceCalls() {
        sendAsCairo("POST", "/svc/registry/registrations", """{"plate":"1"}""", "Idempotency-Key" to "k1")
        sendAsCairo("POST", "/svc/registry/registrations", """{"plate":"1"}""", "Idempotency-Key" to "k1")
        sendAsCairo("POST", "/svc/registry/registrations", """{"plate":"2"}""", "Idempotency-Key" to "k1")
    }

    suspend fun refusals(
        perth: Caller,
        withdrawn: Caller,
    ) {
        sendAsCairo("POST", "/v1/completions", """{"model":"stamps",""")
        sendAsCairo("POST", "/v1/completions", """{"prompt":"no model"}""")
        sendAsCairo("POST", "/v1/completions", """{"model":"nothing","prompt":"x"}""")
        sendAsCairo("POST", "/v1/completions", """{"model":"read-outs","prompt":"x"}""")
        sendAsCairo("GET", "/svc/holds/queue")
        sendAsCairo("GET", "/nothing")
        transcript.exchange(Caller(fleet.client, address, null), "nobody", "GET", "/v1/models", "", REQUEST_ID_HEADER)
        transcript.exchange(withdrawn, "a withdrawn key", "GET", "/v1/models", "", REQUEST_ID_HEADER)
        transcript.exchange(perth, "perth", "POST", "/v1/completions", "$STAMPS_BODY_PREFIX}", REQUEST_ID_HEADER)
    }

    suspend fun operatorCalls(admin: Caller) {
        transcript.exchange(admin, "an operator", "GET", "/healthz")
        transcript.exchange(admin, "an operator", "GET", "/readyz")
    }

    private suspend fun sendAsCairo(
        method: String,
        uri: String,
        body: String = "",
        vararg headers: Pair<String, String>,
    ) = transcript.exchange(cairo, "cairo", method, uri, body, REQUEST_ID_HEADER, *headers)
}
