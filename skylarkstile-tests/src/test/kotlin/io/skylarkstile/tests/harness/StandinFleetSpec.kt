/*
 * Starts the stand-ins as processes and checks that the harness can control them, without entry instances.
 */
package io.skylarkstile.tests.harness

import com.github.michaelbull.result.get
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.skylarkstile.bench.fleet.Fleet
import io.skylarkstile.bench.fleet.FleetTarget
import io.skylarkstile.bench.fleet.RecordWriter
import kotlinx.coroutines.async
import kotlinx.coroutines.delay

class StandinFleetSpec :
    FunSpec({
        suspend fun <R> withFleet(
            proxied: Boolean = false,
            block: suspend (Fleet) -> R,
        ) = Fleet("standins", proxied).use { block(it.start()) }

        suspend fun Fleet.load(
            engine: FleetTarget,
            handle: String,
        ): Reply {
            val path = RecordWriter.pathOf(handle.substringBefore('@'), handle.substringAfter('@'))
            val body = """{"lora_name":"$handle","lora_path":"$path"}"""
            return Caller(client, engine.address, null).call("POST", "/v1/load_lora_adapter", body)
        }

        test("engines load through the weight store and answer streamed, unstreamed and chat requests with the expected tokens") {
            withFleet { fleet ->
                val weights = fleet.weights()
                val engine = fleet.engine("engine-1")
                fleet.load(engine, "stamps@1").status shouldBe 200
                weights.value("loads") shouldBe "1"
                val caller = Caller(fleet.client, engine.address, null)
                for (request in listOf(
                    ModelRequest("stamps@1"),
                    ModelRequest("stamps@1", stream = false),
                    ModelRequest("stamps@1", chat = true),
                )) {
                    val reply = caller.send(request)
                    reply.shouldAnswer(request)
                    reply.completionTokens shouldBe request.maxTokens
                }
                fleet.records.store
                    .get("target", "engine-1")
                    .get()
                    ?.value shouldNotBe null
            }
        }

        test("a paused process answers nothing and continues after it is resumed; a killed one restarts at the same address") {
            withFleet { fleet ->
                val service = fleet.service("bridge-1", "bridge")
                // Only the call to the paused process has a short timeout; a process that has just started may take longer to answer.
                val shortTimeoutCaller = Caller(fleet.client, service.address, null, idleTimeoutMs = 500)
                val caller = Caller(fleet.client, service.address, null)
                service.process.pause()
                shortTimeoutCaller.call("POST", "/holds", "{}").status shouldBe 0
                service.process.resume()
                delay(200)
                caller.call("POST", "/holds", "{}", "Idempotency-Key" to "k1").status shouldBe 201
                service.control.value("executionsByKey", "k1") shouldBe "1"
                service.process.kill()
                caller.call("GET", "/holds").status shouldBe 0
                service.process.start().awaitReady()
                caller.call("GET", "/holds").status shouldBe 200
            }
        }

        test("each connection of a proxied fleet can be delayed and cut") {
            withFleet(proxied = true) { fleet ->
                val service = fleet.service("bridge-1", "bridge")
                val caller = Caller(fleet.client, service.address, null, idleTimeoutMs = 2_000)
                fleet.proxy.set("""{"links":["target-bridge-1"],"delayMs":50}""")
                val startNanos = System.nanoTime()
                caller.call("GET", "/holds").status shouldBe 200
                ((System.nanoTime() - startNanos) / 1e6) shouldBeGreaterThan 100.0
                fleet.proxy.set("""{"links":["target-*"],"heal":true,"cut":true}""")
                caller.call("GET", "/holds").status shouldBe 0
                fleet.proxy.set("""{"links":["target-*"],"heal":true}""")
                caller.call("GET", "/holds").status shouldBe 200
            }
        }

        test("a broken stream is not reported as a complete response") {
            withFleet { fleet ->
                val engine = fleet.engine("engine-1", settings = """{"breakNext":1}""")
                fleet.load(engine, "stamps@1")
                val reply = async { Caller(fleet.client, engine.address, null).send(ModelRequest("stamps@1")) }.await()
                reply.complete shouldBe false
                reply.failure shouldNotBe null
            }
        }
    })
