/*
 * Checks the object API stand-in through the production object store client.
 */
package io.skylarkstile.standin

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.skylarkstile.standin.http.Standin
import io.skylarkstile.standin.objects.ObjectsSettings
import io.skylarkstile.standin.objects.objectsStandin
import io.skylarkstile.transport.platform.ObjectStore
import io.skylarkstile.transport.platform.StoreError
import io.skylarkstile.transport.platform.objectStore
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.seconds

class ObjectsStandinSpec :
    FunSpec({
        suspend fun <R> withObjects(
            settings: ObjectsSettings = ObjectsSettings(),
            block: suspend (ObjectStore, Standin) -> R,
        ) = objectsStandin("127.0.0.1:0", settings).use { block(objectStore(it.address, client, 1_000), it) }

        test("numbers versions by object and revisions over all objects, and never uses a version twice") {
            withObjects { store, _ ->
                store.put("a", "x@1", "{}", 0).get()!!.version shouldBe 1
                store.put("b", "y", "{}", null).get()!!.revision shouldBe 2
                store.put("a", "x@1", "{\"n\":1}", 1).get()!!.version shouldBe 2
                store.delete("a", "x@1", 2) shouldBe Ok(Unit)
                store.get("a", "x@1") shouldBe Ok(null)
                store.put("a", "x@1", "{}", 0).get()!!.version shouldBe 4
                store.list(listOf("a", "b")).get()!!.let { it.revision to it.records.size } shouldBe (5L to 2)
            }
        }

        test("refuses a write whose condition does not hold and names the current version") {
            withObjects { store, _ ->
                store.put("a", "x", "{}", 3).getError() shouldBe StoreError.Conflict(0)
                store.put("a", "x", "{}", 0)
                store.put("a", "x", "{}", 0).getError() shouldBe StoreError.Conflict(1)
                store.delete("a", "x", 7).getError() shouldBe StoreError.Conflict(1)
            }
        }

        test("lets exactly one of several racing conditional writes win") {
            withObjects { store, _ ->
                val results = (1..20).map { n -> async { store.put("a", "x", "$n", 0) } }.map { it.await() }
                results.count { it.isOk } shouldBe 1
            }
        }

        test("ends a waiting watch at a change of a watched kind, removals included, and counts it as one call") {
            withObjects { store, standin ->
                val watch = async { store.watch(listOf("a", "b"), 0, 5_000) }
                eventually(2.seconds) { state(standin.address, "openWatches") shouldBe "1" }
                store.put("other", "x", "{}", null)
                store.put("b", "x", "{}", null)
                watch
                    .await()
                    .get()!!
                    .records
                    .map { it.kind } shouldBe listOf("b")
                store.delete("b", "x", null)
                store
                    .watch(listOf("b"), 2, 1_000)
                    .get()!!
                    .records
                    .single()
                    .value shouldBe null
                state(standin.address, "calls", "watch") shouldBe "2"
            }
        }

        test("returns the present revision from a watch that times out") {
            withObjects { store, _ -> store.watch(listOf("a"), 0, 20).get()!!.let { it.revision to it.records.size } shouldBe (0L to 0) }
        }

        // Without the limit on characters, the history of large objects that change often would fill the memory of the stand-in.
        for (bounded in listOf(ObjectsSettings(historyLimit = 2), ObjectsSettings(historyCharacters = 4))) {
            test(
                "tells a watch when the history it needs is gone, with ${bounded.historyLimit} changes, ${bounded.historyCharacters} characters",
            ) {
                withObjects(bounded) { store, standin ->
                    repeat(4) { store.put("a", "x$it", "{}", null) }
                    store.watch(listOf("a"), 1, 100).getError() shouldBe StoreError.HistoryGone
                    store
                        .watch(listOf("a"), 2, 100)
                        .get()!!
                        .records.size shouldBe 2
                    control(standin.address, """{"action":"forgetHistory"}""")
                    store.watch(listOf("a"), 3, 100).getError() shouldBe StoreError.HistoryGone
                }
            }
        }

        test("refuses large values, malformed JSON and calls over its rates") {
            withObjects(ObjectsSettings(writesPerSecond = 3.0, readsPerSecond = 1.0)) { store, _ ->
                store.put("a", "x", "\"${"y".repeat(1_048_576)}\"", null).getError().shouldBeInstanceOf<StoreError.Rejected>()
                store.put("a", "x", "{", null).getError().shouldBeInstanceOf<StoreError.Rejected>()
                store.put("a", "x", "{}", null).isOk shouldBe true
                store.put("a", "x", "{}", null).getError() shouldBe StoreError.Throttled
                store.list(listOf("a")).isOk shouldBe true
                store.get("a", "x").getError() shouldBe StoreError.Throttled
            }
        }

        test("loses the answer of a write that took effect") {
            withObjects { store, standin ->
                control(standin.address, """{"loseAnswers":1,"loseMode":"close"}""")
                store
                    .put("a", "x", "{}", 0)
                    .getError()
                    .shouldBeInstanceOf<StoreError.Unavailable>()
                    .mayHaveApplied shouldBe true
                store.get("a", "x").get()!!.version shouldBe 1
            }
        }

        test("ends waiting watches when an outage begins") {
            withObjects { store, standin ->
                val watch = async { store.watch(listOf("a"), 0, 5_000) }
                eventually(2.seconds) { state(standin.address, "openWatches") shouldBe "1" }
                control(standin.address, """{"outage":"unavailable"}""")
                watch.await().getError().shouldBeInstanceOf<StoreError.Unavailable>()
                control(standin.address, """{"outage":"none"}""")
                store.list(listOf("a")).isOk shouldBe true
            }
        }

        test("shows a leaving instance only after the lag") {
            withObjects(ObjectsSettings(instancesLagMs = 300)) { store, standin ->
                val line = """{"instance":"engine-1","address":"127.0.0.1:1","dataCentre":"dc1","state":"live"}"""
                control(standin.address, """{"instances":[$line]}""")
                delay(400)
                control(standin.address, """{"leaving":["engine-1"]}""")
                store
                    .instances()
                    .get()!!
                    .single()
                    .state shouldBe "live"
                delay(400)
                store
                    .instances()
                    .get()!!
                    .single()
                    .state shouldBe "leaving"
            }
        }

        test("refuses misspelt control fields, which would otherwise hide that a fault was never injected") {
            withObjects { _, standin -> json(standin.address, "POST", "/control", """{"outtage":"silent"}""").first shouldBe 400 }
        }
    })
