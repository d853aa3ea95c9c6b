/*
 * Smoke test of entry instances in front of the stand-ins: sends one request of each form end to end.
 */
package io.skylarkstile.tests.harness

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.skylarkstile.bench.fleet.Fleet
import io.skylarkstile.tests.proof.ownerOrNull
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.seconds

class EntryFleetSpec :
    FunSpec({
        suspend fun Fleet.startWithRecords(): Fleet {
            start()
            weights()
            records.workspace("cairo")
            records.workspace("perth")
            records.adapter("stamps", "cairo", version = "3")
            records.version("stamps", "2")
            records.modelRoute("open-stamps", "cairo", "stamps", open = true)
            records.serviceRoute("registry", "cairo", "registry")
            coroutineScope {
                val targets = (1..2).map { async { engine("engine-$it") } } + async { service("registry-1", "registry") }
                targets.awaitAll()
            }
            return this
        }

        test("completions, chats and reads reach the right adapter and service, and no target sees the key") {
            Fleet("entry").use { fleet ->
                fleet.startWithRecords()
                val key = fleet.records.key("cairo-1", "cairo")
                val entry = fleet.entry("entry-1")
                val caller = Caller(fleet.client, entry.process.address, key)
                for (request in listOf(
                    ModelRequest("stamps"),
                    ModelRequest("stamps", stream = false),
                    ModelRequest("stamps", chat = true),
                )) {
                    caller.send(request).shouldAnswer(request, version = "3")
                }
                caller.send(ModelRequest("stamps", stream = false)).body shouldContain "\"model\":\"stamps@3\""
                ModelRequest("stamps@2").let { caller.send(it).shouldAnswer(it, version = "2") }
                caller.call("GET", "/svc/registry/registrations").status shouldBe 200
                for (target in fleet.targets) {
                    target.control.receivedWith(key.substringAfterLast('-')) shouldBe 0
                    if (target.record.baseModel != null) target.control.value("orders", "evictionsInUse") shouldBe "0"
                }
            }
        }

        // Guards against reading a delayed state dump as one that lists no owned targets, which made specs pick the wrong owner.
        test("the owner of a target is found while the machine is busy, and an instance that doesn't answer fails the lookup") {
            Fleet("entry-owner").use { fleet ->
                fleet.startWithRecords()
                val entry = fleet.entry("entry-1")
                eventually(10.seconds) { fleet.ownerOrNull(listOf(entry), "engine-1") shouldBe entry }
                entry.process.pause()
                coroutineScope {
                    val owner = async { fleet.ownerOrNull(listOf(entry), "engine-1") }
                    delay(1_500)
                    entry.process.resume()
                    owner.await() shouldBe entry
                }
                entry.process.kill()
                shouldThrow<AssertionError> { fleet.ownerOrNull(listOf(entry), "engine-1") }
            }
        }

        test("a key of another workspace and a withdrawn key are refused as not-run") {
            Fleet("entry-keys").use { fleet ->
                fleet.startWithRecords()
                val cairo = fleet.records.key("cairo-1", "cairo")
                val perth = fleet.records.key("perth-1", "perth")
                val entry = fleet.entry("entry-1")
                val foreign = Caller(fleet.client, entry.process.address, perth).send(ModelRequest("stamps"))
                (foreign.status in 400..499) shouldBe true
                foreign.outcome shouldBe "not-run"
                fleet.records.withdrawKey("cairo-1")
                eventually(3.seconds) {
                    Caller(fleet.client, entry.process.address, cairo).send(ModelRequest("stamps")).status shouldBe 401
                }
                fleet.targets.mapNotNull { it.control.valueOrNull("repeated") }.all { it == "{}" } shouldBe true
            }
        }
    })
