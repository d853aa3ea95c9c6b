/*
 * Tests the dispatcher with three instances (promises 7 and 8 of the design page): an answer that breaks off is continued without duplicate
 * or missing tokens, or ends with an explicit error; retries stay within their budget.
 */
package io.skylarkstile.entry.target

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import io.skylarkstile.core.cluster.Ownership
import io.skylarkstile.core.cluster.loadBudgetResource
import io.skylarkstile.core.cluster.targetResource
import io.skylarkstile.schema.generated.DispatchEnd.Outcome
import io.skylarkstile.schema.generated.LoadSettings
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withTimeout
import kotlin.random.Random

/** Runs three instances: `e<n>` owns target `t<n>`, and `e1` owns the load budget. */
private class Fleet(
    scope: CoroutineScope,
    tokens: Int = 20,
) {
    private val names = listOf("1", "2", "3")
    val engines = names.associate { "t$it" to FakeEngine(tokens = tokens) }
    val http = FakeHttp(engines)
    val networks = names.associate { "e$it" to FakeNetwork("e$it") }
    val snapshots = FakeSnapshots(testSnapshot(engines.mapValues { targetRecord(it.key, it.value) }))
    val parts = names.associate { "e$it" to part("e$it", scope) }

    init {
        networks.forEach { (name, network) -> networks.filterKeys { it != name }.forEach { network.peers[it.key] = it.value } }
        parts.getValue("e1").loadBudget.acquired(loadBudgetResource, 1)
        names.forEach { parts.getValue("e$it").owner.acquired(targetResource("t$it", "d1"), 1) }
    }

    private fun part(
        self: String,
        scope: CoroutineScope,
    ): TargetPart {
        val cluster = FakeCluster(self, names.map { "e$it" })
        names.forEach { cluster.owners["target/t$it"] = if (self == "e$it") Ownership.Held(1) else Ownership.Elsewhere("e$it") }
        cluster.owners["load-budget"] = if (self == "e1") Ownership.Held(1) else Ownership.Elsewhere("e1")
        val settings = TargetPartSettings(testSettings, LoadSettings(loadsPerSecond = 100.0), 500)
        return targetPart(cluster, snapshots, networks.getValue(self), http, settings, scope, clock)
    }

    suspend fun run(
        at: String,
        adapter: String,
        id: String,
        workspace: String = "w",
        deadlineMs: Long = 5_000,
    ): Answer = answerOf(parts.getValue(at).dispatcher.run(testRequest(adapter, id, "", deadlineMs, workspace)))

    fun completions() = engines.values.sumOf { engine -> engine.calls.count { it.first == "/v1/completions" } }

    suspend fun targetOf(
        adapter: String,
        at: String = "e1",
    ): String {
        run(at, adapter, "first-$adapter").end.outcome shouldBe Outcome.Done
        until("state of the loaded target") {
            parts.values.all {
                it.router
                    .candidates(adapter, "1", clock())
                    .first()
                    .reason == "loaded"
            }
        }
        return parts
            .getValue(at)
            .router
            .candidates(adapter, "1", clock())
            .first()
            .target
    }
}

private suspend fun fleet(block: suspend (Fleet) -> Unit) {
    val scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
    try {
        withTimeout(60_000) { block(Fleet(scope)) }
    } finally {
        scope.cancel()
    }
}

private fun Answer.shouldBeWhole(adapter: String) {
    withClue({ "end $end" }) { text shouldBe wholeText(adapter, 20) }
    end.outcome shouldBe Outcome.Done
    raw.split("[DONE]").size shouldBe 2
}

class ModelDispatcherSpec :
    FunSpec({
        test("all instances send an adapter to the target that has it, and name its owner as the address") {
            fleet { fleet ->
                val target = fleet.targetOf("a")
                listOf("e1", "e2", "e3").forEach { fleet.run(it, "a", "r-$it").shouldBeWhole("a") }
                fleet.engines.values.flatMap { it.loads() } shouldContainExactly listOf("a@1#1")
                fleet.parts.values
                    .map { it.router.likelyOwnerOrNull("a", null, clock()) }
                    .toSet() shouldBe setOf("e" + target.drop(1))
            }
        }

        // Guards against losing the trace context when a request is forwarded to the instance that runs it.
        test("a request that another instance runs keeps its request id and trace context") {
            fleet { fleet ->
                val target = fleet.targetOf("a")
                val other = fleet.parts.keys.first { it != "e" + target.drop(1) }
                val request = testRequest("a", "r9", "", 5_000, "w").copy(traceparent = "trace")
                answerOf(
                    fleet.parts
                        .getValue(other)
                        .dispatcher
                        .run(request),
                ).shouldBeWhole("a")
                val sent =
                    fleet.engines
                        .getValue(target)
                        .calls
                        .last { it.first == "/v1/completions" }
                        .second.headers
                listOf(sent["x-request-id"], sent["traceparent"]) shouldBe listOf("r9", "trace")
            }
        }

        test("a stream that breaks at the target is continued on another target without duplicate or missing tokens") {
            fleet { fleet ->
                val target = fleet.targetOf("a")
                fleet.engines
                    .getValue(target)
                    .breakAfter
                    .add(7)
                fleet.run("e2", "a", "r1").shouldBeWhole("a")
                fleet.engines.values.count { it.loads().isNotEmpty() } shouldBe 2
            }
        }

        test("a stream whose link to the owner breaks is continued without duplicate or missing tokens") {
            fleet { fleet ->
                val owner = "e" + fleet.targetOf("a").drop(1)
                val entry = listOf("e1", "e2", "e3").first { it != owner }
                fleet.networks.getValue(entry).breakAfterEvents = 5
                fleet.run(entry, "a", "r1").shouldBeWhole("a")
            }
        }

        test("a target that is down or has lost its owner's link costs another try, not the request") {
            fleet { fleet ->
                val target = fleet.targetOf("a")
                fleet.http.down.add(target)
                fleet.run("e1", "a", "r1").shouldBeWhole("a")
                fleet.networks
                    .getValue("e1")
                    .peers.keys
                    .removeIf { it != "e2" }
                fleet.run("e1", "b", "r2").shouldBeWhole("b")
            }
        }

        test("with seeded breaks on all targets every caller gets the whole answer while its workspace has retries left") {
            fleet { fleet ->
                val random = Random(20_261_204)
                repeat(12) { round ->
                    // A request sees at most the 6 breaks of its round, which the retry burst of its own workspace covers.
                    fleet.engines.values.forEach { engine -> repeat(2) { engine.breakAfter.add(random.nextInt(20)) } }
                    coroutineScope {
                        (1..9)
                            .map { at ->
                                val adapter = "${'a' + at % 4}"
                                async { fleet.run("e${1 + at % 3}", adapter, "r$round-$at", "w$round-$at").shouldBeWhole(adapter) }
                            }.awaitAll()
                    }
                }
                fleet.completions() shouldBeGreaterThan 108 + 36
            }
        }

        test("when every target fails the request ends with an explicit error, and retries stay within the budget") {
            fleet { fleet ->
                fleet.targetOf("a")
                fleet.engines.values.forEach { engine -> repeat(400) { engine.breakAfter.add(0) } }
                val before = fleet.completions()
                val answers = (1..60).map { fleet.run("e1", "a", "r$it") }
                answers.forEach { it.shouldBePrefix("a") }
                answers.count { it.end.outcome == Outcome.Done } shouldBe 0
                // Loads and refused loads send no completion. The retry budget allows a burst of 10 and one retry per ten requests.
                (fleet.completions() - before) shouldBeLessThanOrEqual 60 + 6 + 10
            }
        }

        test("a request to an owner that is silent ends with an explicit error soon after its deadline") {
            fleet { fleet ->
                val owner = "e" + fleet.targetOf("a").drop(1)
                val entry = listOf("e1", "e2", "e3").first { it != owner }
                fleet.networks.getValue(owner).onDispatch { _, _ -> flow { awaitCancellation() } }
                val startedAt = clock()
                fleet.run(entry, "a", "r1", deadlineMs = 300).shouldBePrefix("a")
                (clock() - startedAt) shouldBeLessThan 2_000L
            }
        }

        test("a request of which nothing ran ends as not run") {
            fleet { fleet ->
                fleet.http.down.addAll(fleet.engines.keys)
                until("targets are known to be down") {
                    fleet.parts.values.all { part ->
                        part.dump().owned.all { it.phase == "Unreachable" }
                    }
                }
                fleet.run("e1", "a", "r1", deadlineMs = 500).end.outcome shouldBe Outcome.NotRun
                fleet.completions() shouldBe 0
            }
        }
    })

private fun Answer.shouldBePrefix(adapter: String) {
    end.outcome shouldBe Outcome.Unknown
    wholeText(adapter, 20) shouldStartWith text
    raw shouldNotContain "[DONE]"
}
