/*
 * Verifies promise 4: no target receives a caller's key. The stand-ins record the heads and bodies of all requests that they receive.
 */
package io.skylarkstile.tests.proof

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.skylarkstile.bench.fleet.Fleet
import io.skylarkstile.tests.harness.Caller
import io.skylarkstile.tests.harness.ModelRequest
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

class KeySecrecyProofSpec :
    FunSpec({
        test("no target, log or dump contains a key, on answers, retries, errors and service routes") {
            Fleet("proof-secrecy").use { fleet ->
                fleet.start()
                fleet.weights()
                fleet.records.workspace("cairo")
                fleet.records.adapter("stamps", "cairo")
                fleet.records.serviceRoute("registry", "cairo", "registry")
                val key = fleet.records.key("cairo-1", "cairo")
                val secret = key.substringAfterLast('-')
                // A rejected key must not leak either, since it may be a valid key with a typing error.
                val mistyped = key.dropLast(4) + "0000"
                coroutineScope {
                    val engines = (1..2).map { async { fleet.engine("engine-$it") } }
                    (engines + async { fleet.service("registry-1", "registry") }).awaitAll()
                }
                val entries = (1..2).map { fleet.entry("entry-$it") }
                val engines = fleet.targets.filter { it.record.baseModel != null }
                for (entry in entries) {
                    val caller = Caller(fleet.client, entry.process.address, key, idleTimeoutMs = 5_000)
                    ModelRequest("stamps").let { caller.sendAdmitted(it).shouldAnswer(it) }
                    for (fault in listOf("rejectNext", "breakNext", "crossNext", "failLoads")) {
                        engines.forEach { it.control.set("""{"$fault":1}""") }
                        for (request in listOf(
                            ModelRequest("stamps"),
                            ModelRequest("stamps", stream = false),
                            ModelRequest("stamps", chat = true),
                        )) {
                            caller.send(request)
                        }
                    }
                    caller.call("POST", "/v1/completions", "{\"model\":", "x-request-id" to "r1").status shouldBe 400
                    caller.send(ModelRequest("unknown"))
                    caller.call("GET", "/svc/registry/registrations", "", "Accept" to "*/*").status shouldBe 200
                    val id = "Idempotency-Key" to "plate-${entry.name}"
                    repeat(2) { caller.call("POST", "/svc/registry/registrations", """{"plate":"1"}""", id) }
                    caller.call("POST", "/svc/registry/registrations", """{"plate":"2"}""")
                    Caller(fleet.client, entry.process.address, mistyped).send(ModelRequest("stamps")).status shouldBe 401
                }
                for (target in fleet.targets) {
                    withClue(target.name) {
                        target.control.receivedWith("/") shouldBeGreaterThan 0
                        for (forbidden in listOf(key, secret, mistyped, "Bearer")) target.control.receivedWith(forbidden) shouldBe 0
                    }
                }
                fleet.objects.receivedWith(secret) shouldBe 0
                for (entry in entries) {
                    val dump = fleet.dump(entry)
                    dump shouldContain "engine-1"
                    for (forbidden in listOf(secret, mistyped)) {
                        dump shouldNotContain forbidden
                        entry.process.log.readText() shouldNotContain forbidden
                    }
                }
            }
        }
    })
