/*
 * A whole session of callers against real processes. Guards against changes of answers that callers rely on: status, outcome, header
 * fields and bodies.
 */
package io.skylarkstile.tests.golden

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.skylarkstile.bench.fleet.Fleet
import io.skylarkstile.tests.harness.Caller
import kotlin.time.Duration.Companion.seconds

private val REQUEST = "X-Request-Id" to "r-1"
private const val STAMPS = """{"model":"stamps","prompt":"read this plate","max_tokens":4,"seed":7"""

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
                session.awaitService()
                session.models()
                session.services()
                session.refusals(Caller(fleet.client, entry.process.address, perth), Caller(fleet.client, entry.process.address, withdrawn))
                session.operators(Caller(fleet.client, entry.addresses.admin, null))
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

    /** The first requests of a new instance may wait for its share of the rate and for owners. */
    suspend fun awaitService() = eventually(15.seconds) {
        cairo.call("POST", "/v1/completions", "$STAMPS}").status shouldBe 200
        cairo.call("GET", "/svc/registry/registrations").status shouldBe 200
    }

    suspend fun models() {
        ask("GET", "/v1/models")
        ask("GET", "/v1/address?model=stamps")
        ask("POST", "/v1/completions", "$STAMPS}")
        ask("POST", "/v1/completions", """{"model":"stamps@1","prompt":"read this plate","max_tokens":4,"seed":7}""")
        ask("POST", "/v1/completions", """$STAMPS,"stream":true}""")
        ask(
            "POST",
            "/v1/chat/completions",
            """{"model":"stamps","messages":[{"role":"user","content":"read this plate"}],"max_tokens":4,"seed":7}""",
        )
    }

    suspend fun services() {
        ask("POST", "/svc/registry/registrations", """{"plate":"1"}""", "Idempotency-Key" to "k1")
        ask("POST", "/svc/registry/registrations", """{"plate":"1"}""", "Idempotency-Key" to "k1")
        ask("POST", "/svc/registry/registrations", """{"plate":"2"}""", "Idempotency-Key" to "k1")
    }

    suspend fun refusals(
        perth: Caller,
        withdrawn: Caller,
    ) {
        ask("POST", "/v1/completions", """{"model":"stamps",""")
        ask("POST", "/v1/completions", """{"prompt":"no model"}""")
        ask("POST", "/v1/completions", """{"model":"nothing","prompt":"x"}""")
        ask("POST", "/v1/completions", """{"model":"read-outs","prompt":"x"}""")
        ask("GET", "/svc/holds/queue")
        ask("GET", "/nothing")
        transcript.exchange(Caller(fleet.client, address, null), "nobody", "GET", "/v1/models", "", REQUEST)
        transcript.exchange(withdrawn, "a withdrawn key", "GET", "/v1/models", "", REQUEST)
        transcript.exchange(perth, "perth", "POST", "/v1/completions", "$STAMPS}", REQUEST)
    }

    suspend fun operators(admin: Caller) {
        transcript.exchange(admin, "an operator", "GET", "/healthz")
        transcript.exchange(admin, "an operator", "GET", "/readyz")
    }

    private suspend fun ask(
        method: String,
        uri: String,
        body: String = "",
        vararg headers: Pair<String, String>,
    ) = transcript.exchange(cairo, "cairo", method, uri, body, REQUEST, *headers)
}
