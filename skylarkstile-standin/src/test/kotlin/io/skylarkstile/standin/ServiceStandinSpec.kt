/*
 * Checks the plain service and the weight store stand-ins.
 */
package io.skylarkstile.standin

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.skylarkstile.standin.service.serviceStandin
import io.skylarkstile.standin.weights.WeightsSettings
import io.skylarkstile.standin.weights.weightsStandin
import io.skylarkstile.transport.http.headersOf
import kotlinx.coroutines.async

class ServiceStandinSpec :
    FunSpec({
        suspend fun post(
            address: String,
            key: String,
        ) = call(
            address,
            "POST",
            "/registrations",
            """{"plate":1}""",
            headersOf("Idempotency-Key" to key, "X-Request-Id" to "r-$key"),
        ).status

        test("counts each execution, also of a repeated key, since it must show doubled calls") {
            serviceStandin("127.0.0.1:0").use {
                post(it.address, "a") shouldBe 201
                post(it.address, "a") shouldBe 201
                state(it.address, "executionsByKey", "a") shouldBe "2"
                state(it.address, "executionsByRequest", "r-a") shouldBe "2"
                json(it.address, "GET", "/registrations/2").second.toString() shouldContain """"plate":1"""
            }
        }

        test("fails before and after the execution and drops answers as told") {
            serviceStandin("127.0.0.1:0").use {
                control(it.address, """{"failBefore":1}""")
                post(it.address, "before") shouldBe 503
                control(it.address, """{"failAfter":1}""")
                post(it.address, "after") shouldBe 500
                control(it.address, """{"dropAfter":1}""")
                runCatching { post(it.address, "dropped") }.isFailure shouldBe true
                state(it.address, "executionsByKey") shouldBe """{"after":1,"dropped":1}"""
            }
        }

        test("loads at full speed up to its bound and proportionally slower beyond") {
            suspend fun seconds(loads: Int): Double =
                weightsStandin("127.0.0.1:0", WeightsSettings(loadsPerSecond = 100.0, loadsAtOnce = 2, loadMs = 200)).use { store ->
                    val begin = System.nanoTime()
                    (1..loads).map { async { call(store.address, "GET", "/weights/a$it").status } }.forEach { it.await() shouldBe 200 }
                    (System.nanoTime() - begin) / 1e9
                }
            (seconds(4) / seconds(2)) shouldBeGreaterThan 1.4
        }

        test("starts no more loads in a second than its rate") {
            weightsStandin("127.0.0.1:0", WeightsSettings(loadsPerSecond = 2.0, loadsAtOnce = 10, loadMs = 1)).use { store ->
                val begin = System.nanoTime()
                (1..4).map { async { call(store.address, "GET", "/weights/a$it").status } }.forEach { it.await() shouldBe 200 }
                ((System.nanoTime() - begin) / 1e9) shouldBeGreaterThan 0.9
            }
        }
    })
