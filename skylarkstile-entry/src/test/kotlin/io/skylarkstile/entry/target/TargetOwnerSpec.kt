/*
 * Tests the owner of a target against a fake engine: loading and evicting adapters, running requests, failures, draining and takeovers with
 * and without fencing (promises 1, 2, 4, 7, 8 and 10 of the design page).
 */
package io.skylarkstile.entry.target

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.skylarkstile.core.cluster.Ownership
import io.skylarkstile.core.dispatch.DispatchEvent
import io.skylarkstile.schema.generated.DispatchEnd.Outcome
import io.skylarkstile.schema.generated.LoadAsk
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.take
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.withTimeout
import kotlin.random.Random

private suspend fun withScope(block: suspend (CoroutineScope) -> Unit) {
    val scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
    try {
        withTimeout(30_000) { block(scope) }
    } finally {
        scope.cancel()
    }
}

class TargetOwnerSpec :
    FunSpec({
        test("an adapter is loaded once, the whole answer is forwarded, and the engine receives only the allowed headers") {
            withScope { scope ->
                val fixture = OwnerFixture(scope).also { it.acquire(7) }
                val answers = coroutineScope { (1..4).map { async { fixture.run("a", "r$it") } }.awaitAll() }
                answers.forEach { it.text shouldBe wholeText("a") }
                answers.map { it.end.outcome }.toSet() shouldBe setOf(Outcome.Done)
                fixture.engine.loads() shouldContainExactly listOf("a@1#7")
                val sent =
                    fixture.engine.calls
                        .first { it.first == "/v1/completions" }
                        .second
                listOf("content-type", "x-request-id", "traceparent", "x-fencing-number") shouldContainAll
                    sent.headers.fields.map { it.first.lowercase() }
            }
        }

        test("nothing is sent without ownership or with a lease shorter than the margin, also when it shrinks while the request waits") {
            withScope { scope ->
                val fixture = OwnerFixture(scope)
                fixture.run("a", "r1").end shouldBe notRun("not-owner", "target t1")
                fixture.acquire(7)
                fixture.run("a", "r2").end.outcome shouldBe Outcome.Done
                fixture.cluster.leaseMs = 499
                fixture.run("a", "r3").end.reason shouldBe "not-owner"
                fixture.cluster.leaseMs = 3_000
                fixture.engine.loadMs = 200
                coroutineScope {
                    val waiting = async { fixture.run("b", "r4") }
                    until("load of b") { "b@1#7" in fixture.engine.loads() }
                    fixture.cluster.leaseMs = 100
                    waiting.await().end.let { it.outcome to it.reason } shouldBe (Outcome.NotRun to "not-owner")
                }
                fixture.engine.calls.count { it.first == "/v1/completions" } shouldBe 1
            }
        }

        test("with more adapters than slots every request runs on its adapter and no adapter in use is evicted") {
            withScope { scope ->
                val fixture = OwnerFixture(scope, FakeEngine(slots = 3, tokens = 6)).also { it.acquire(7) }
                val random = Random(20_261_204)
                val adapters = (1..120).map { ('a' + random.nextInt(8)).toString() }
                val answers =
                    coroutineScope {
                        adapters
                            .mapIndexed {
                                at,
                                adapter,
                                ->
                                async { fixture.run(adapter, "r$at", 20_000) }
                            }.awaitAll()
                    }
                answers.map { it.text } shouldContainExactly adapters.map { wholeText(it, 6) }
                fixture.engine.evictionsInUse.get() shouldBe 0
                fixture.engine.slotOverflows.get() shouldBe 0
                fixture.engine.loads().size shouldBeGreaterThan 7
            }
        }

        // Guards against a second load of the same adapter at another target while the weight store is busy.
        test("a model whose load waits for a permit is announced as loading") {
            withScope { scope ->
                val permit = CompletableDeferred<LoadPermit>()
                val permits =
                    object : LoadPermits {
                        override suspend fun acquireOrNull(ask: LoadAsk) = permit.await()
                    }
                val fixture = OwnerFixture(scope, permits = permits).also { it.acquire(7) }
                coroutineScope {
                    val waiting = async { fixture.run("a", "r1") }
                    until("announcement") { fixture.owner.stateOrNull("t1")?.loading == listOf("a@1") }
                    fixture.engine.loads() shouldBe emptyList()
                    permit.complete(LoadPermit { })
                    waiting.await().end.outcome shouldBe Outcome.Done
                }
                fixture.owner.stateOrNull("t1")?.loading shouldBe emptyList()
            }
        }

        test("an answer or a chunk that names another request is never forwarded") {
            withScope { scope ->
                val fixture = OwnerFixture(scope).also { it.acquire(7) }
                fixture.engine.foreignHead = true
                val foreign = fixture.run("a", "r1")
                foreign.events.size shouldBe 1
                foreign.end.reason shouldBe "answer-mismatch"
                fixture.engine.foreignHead = false
                fixture.engine.foreignChunk = true
                val mixed = fixture.run("a", "r2")
                mixed.text shouldBe wholeText("a", 2)
                mixed.end.let { it.outcome to it.reason } shouldBe (Outcome.Unknown to "answer-mismatch")
            }
        }

        test("a broken answer ends as unknown, never as a short answer marked done") {
            withScope { scope ->
                val fixture = OwnerFixture(scope).also { it.acquire(7) }
                fixture.engine.breakAfter.add(4)
                val answer = fixture.run("a", "r1")
                answer.text shouldBe wholeText("a", 4)
                answer.end.outcome shouldBe Outcome.Unknown
            }
        }

        test("takeover with fencing raises the number first, adopts loaded adapters, and late orders of the old owner are refused") {
            withScope { scope ->
                val engine = FakeEngine(fencing = true)
                val old = OwnerFixture(scope, engine).also { it.acquire(7) }
                old.run("a", "r1").end.outcome shouldBe Outcome.Done
                val new = OwnerFixture(scope, engine, cluster = FakeCluster("e2")).also { it.acquire(9) }
                new.run("a", "r2").text shouldBe wholeText("a")
                engine.loads() shouldContainExactly listOf("a@1")
                engine.highestFencingNumber shouldBe 9
                val paths = engine.calls.map { it.first to it.second.headers[FENCING_HEADER] }
                paths.indexOf("/v1/fence" to "9") shouldBeGreaterThan 0
                EngineApi(old.http, "t1", 7) { true }.unload("a@1", 1_000) shouldBe OrderOutcome.Refused(409, "{}")
                engine.loaded.keys shouldContain "a@1"
            }
        }

        test("an adopted adapter is not evicted while the former owner's request runs on it") {
            withScope { scope ->
                val engine = FakeEngine(slots = 1, fencing = true, tokens = 100, stepMs = 5)
                val old = OwnerFixture(scope, engine).also { it.acquire(7) }
                val new = OwnerFixture(scope, engine, cluster = FakeCluster("e2"))
                coroutineScope {
                    val running = async { old.run("a", "r1") }
                    until("stream of a") { engine.loaded["a@1"]?.get() == 1 }
                    new.acquire(9)
                    val waiting = async { new.run("b", "r2") }
                    running.await().text shouldBe wholeText("a", 100)
                    waiting.await().text shouldBe wholeText("b", 100)
                }
                engine.evictionsInUse.get() shouldBe 0
            }
        }

        test("takeover without fencing uses handles of its own epoch, so a late unload of the old owner hits nothing in use") {
            withScope { scope ->
                val engine = FakeEngine(tokens = 60)
                val old = OwnerFixture(scope, engine).also { it.acquire(7) }
                old.run("a", "r1").end.outcome shouldBe Outcome.Done
                val new = OwnerFixture(scope, engine, cluster = FakeCluster("e2")).also { it.acquire(9) }
                coroutineScope {
                    val running = async { new.run("a", "r2") }
                    until("stream of a") { engine.loaded["a@1#9"]?.get() == 1 }
                    EngineApi(old.http, "t1", 7) { true }.unload("a@1#7", 1_000)
                    running.await().text shouldBe wholeText("a", 60)
                }
                engine.evictionsInUse.get() shouldBe 0
            }
        }

        test("a handle of a former epoch is unloaded once nothing runs on it") {
            withScope { scope ->
                val engine = FakeEngine(tokens = 60)
                val old = OwnerFixture(scope, engine).also { it.acquire(7) }
                coroutineScope {
                    val running = async { old.run("a", "r1") }
                    until("stream of a") { engine.loaded["a@1#7"]?.get() == 1 }
                    OwnerFixture(scope, engine, cluster = FakeCluster("e2")).acquire(9)
                    running.await().text shouldBe wholeText("a", 60)
                    until("unload of the old handle") { "a@1#7" !in engine.loaded.keys }
                }
                engine.evictionsInUse.get() shouldBe 0
            }
        }

        test("after a restart of the engine running requests end as unknown and the adapter is loaded again") {
            withScope { scope ->
                val fixture = OwnerFixture(scope, FakeEngine(fencing = true, tokens = 200)).also { it.acquire(7) }
                coroutineScope {
                    val running = async { fixture.run("a", "r1") }
                    until("stream of a") { fixture.engine.loaded["a@1"]?.get() == 1 }
                    fixture.engine.restart()
                    running.await().end.outcome shouldBe Outcome.Unknown
                }
                fixture.run("a", "r2").text shouldBe wholeText("a", 200)
                fixture.engine.loads() shouldContainExactly listOf("a@1", "a@1")
                fixture.engine.highestFencingNumber shouldBe 7
            }
        }

        test("a failed load is repeated after a pause; after two failures waiting requests are refused as not run") {
            withScope { scope ->
                val fixture = OwnerFixture(scope).also { it.acquire(7) }
                fixture.engine.failLoads = 1
                fixture.run("a", "r1").end.outcome shouldBe Outcome.Done
                fixture.engine.failLoads = 2
                fixture.run("b", "r2").end.let { it.outcome to it.reason } shouldBe (Outcome.NotRun to "load-failed")
                fixture.run("b", "r3").end.reason shouldBe "load-backoff"
            }
        }

        test("a draining target gets no new work and finishes what runs") {
            withScope { scope ->
                val fixture = OwnerFixture(scope, FakeEngine(tokens = 50), maxRunning = 1).also { it.acquire(7) }
                coroutineScope {
                    val running = async { fixture.run("a", "r1") }
                    until("stream of a") { fixture.engine.loaded["a@1#7"]?.get() == 1 }
                    val waiting = async { fixture.run("a", "r2") }
                    until("waiting request") { fixture.owner.stateOrNull("t1")!!.queued == 1 }
                    fixture.snapshots.set(testSnapshot(mapOf("t1" to targetRecord("t1", fixture.engine, 1, draining = true))))
                    waiting.await().end.let { it.outcome to it.reason } shouldBe (Outcome.NotRun to "draining")
                    fixture.run("a", "r3").end.reason shouldBe "draining"
                    fixture.owner.stateOrNull("t1")!!.accepting shouldBe false
                    running.await().text shouldBe wholeText("a", 50)
                }
            }
        }

        test("a released target refuses waiting requests, reports its pins until they are gone, and finishes running ones") {
            withScope { scope ->
                val fixture = OwnerFixture(scope, FakeEngine(tokens = 50), maxRunning = 1).also { it.acquire(7) }
                coroutineScope {
                    val running = async { fixture.run("a", "r1") }
                    until("stream of a") { fixture.engine.loaded["a@1#7"]?.get() == 1 }
                    val waiting = async { fixture.run("a", "r2") }
                    until("waiting request") { fixture.owner.stateOrNull("t1")!!.queued == 1 }
                    fixture.cluster.owners[fixture.resource.key] = Ownership.Elsewhere("e2")
                    fixture.owner.released(fixture.resource) shouldBe mapOf("a@1#7" to 1)
                    waiting.await().end.reason shouldBe "not-owner"
                    running.await().text shouldBe wholeText("a", 50)
                    until("no pins") { fixture.owner.released(fixture.resource).isEmpty() }
                }
            }
        }

        test("a caller that goes away frees its place, and its adapter stays until the engine reports it idle") {
            withScope { scope ->
                val fixture = OwnerFixture(scope, FakeEngine(slots = 1, tokens = 1_000), maxRunning = 1).also { it.acquire(7) }
                fixture.owner
                    .run(testRequest("a", "r1"))
                    .take(3)
                    .toList()
                    .filterIsInstance<DispatchEvent.End>()
                    .shouldBeEmpty()
                fixture.owner
                    .run(testRequest("b", "r2"))
                    .take(2)
                    .toList()
                    .size shouldBe 2
                fixture.engine.evictionsInUse.get() shouldBe 0
                until("idle") { fixture.owner.stateOrNull("t1")!!.running == 0 }
            }
        }
    })
