package io.skylarkstile.entry.ledger

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.skylarkstile.core.cluster.Ownership
import io.skylarkstile.core.cluster.ledgerResource
import io.skylarkstile.core.ledger.RunResult
import io.skylarkstile.entry.limit.FakePeers
import io.skylarkstile.entry.limit.FixedCluster
import io.skylarkstile.entry.limit.Wires
import io.skylarkstile.entry.limit.clock
import io.skylarkstile.schema.generated.LedgerAnswer
import io.skylarkstile.schema.generated.LedgerCall
import io.skylarkstile.schema.generated.LedgerSettings
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

private fun call(
    key: String,
    body: String = "body",
    deadlineMs: Long = 5_000,
    id: String = "r",
) = LedgerCall(id, "w", "route", "svc", key, "POST", "/x", "text/plain", body.toByteArray(), deadlineMs)

/** Counts executions by key, and records the request ids and trace contexts of the calls that ran. */
private class CountingService(
    private val delayMs: Long = 1,
) : ServiceCaller {
    val executions = ConcurrentHashMap<String, AtomicInteger>()
    val ran: MutableSet<String> = ConcurrentHashMap.newKeySet()
    val traces: MutableSet<String> = ConcurrentHashMap.newKeySet()

    override suspend fun run(
        call: LedgerCall,
        timeoutMs: Long,
        maySend: () -> Boolean,
    ): RunResult {
        if (!maySend()) return RunResult.NotSent("no lease")
        executions.computeIfAbsent(call.key) { AtomicInteger() }.incrementAndGet()
        ran += call.requestId
        traces += "${call.requestId} ${call.traceparent}"
        delay(delayMs)
        return RunResult.Answered(201, "text/plain", "answer to ${call.key}".toByteArray())
    }
}

/** Runs [size] instances on one store. A single instance owns all ranges at a time. */
private class LedgerFleet(
    size: Int,
    val service: CountingService = CountingService(),
) {
    val store = MemoryStore()
    val wires = Wires()
    private val names = (1..size).map { "i$it" }
    private val scope = CoroutineScope(Dispatchers.Default + Job())
    val clusters = names.map { FixedCluster(it, names) }
    private val settings = LedgerPartSettings(LedgerSettings(ranges = 2, commitIntervalMs = 10), 500)
    val parts =
        clusters.map { ledgerPart(it, FakePeers(it.self, names, wires), store, service, settings, scope, ::clock) }
    private val epochs = AtomicLong()

    /** Makes [owner] the owner of all ranges. The previous owner is notified only when [release] is set. */
    fun move(
        owner: Int,
        previous: Int? = null,
        release: Boolean = true,
    ) {
        val epoch = epochs.incrementAndGet()
        for (range in 0 until 2) {
            val resource = ledgerResource(range)
            if (previous != null && release) parts[previous].owner.released(resource)
            clusters.forEachIndexed { i, cluster ->
                val stays = i == previous && !release
                if (!stays) cluster.places[resource.key] = if (i == owner) Ownership.Held(epoch) else Ownership.Elsewhere(names[owner])
            }
            parts[owner].owner.acquired(resource, epoch)
        }
    }

    suspend fun use(action: suspend LedgerFleet.() -> Unit) = try {
        move(0)
        action()
    } finally {
        scope.cancel()
    }
}

class LedgerPartSpec :
    FunSpec({
        test("a call through any instance runs once and its repeats through others replay the answer") {
            LedgerFleet(3).use {
                val first = parts[1].calls.call(call("k"))
                first.outcome shouldBe LedgerAnswer.Outcome.Done
                first.replayed shouldBe false
                String(
                    parts[2]
                        .calls
                        .call(call("k"))
                        .also { it.replayed shouldBe true }
                        .body!!,
                ) shouldBe "answer to k"
                parts[0].calls.call(call("k", body = "other")).status shouldBe 422
                service.executions.getValue("k").get() shouldBe 1
            }
        }

        // Guards against the loss of the trace context when a call is forwarded to another instance.
        test("a call that another instance runs keeps its request id and trace context") {
            LedgerFleet(2).use {
                parts[1].calls.call(call("k", id = "r9").copy(traceparent = "trace"))
                service.traces shouldBe setOf("r9 trace")
            }
        }

        test("the recorded answer survives a move of the range") {
            LedgerFleet(2).use {
                parts[0].calls.call(call("k"))
                delay(200)
                move(1, previous = 0)
                parts[0].calls.call(call("k")).replayed shouldBe true
                service.executions.getValue("k").get() shouldBe 1
            }
        }

        test("an outage answers not-run within a second and sends nothing") {
            LedgerFleet(2).use {
                parts[1].calls.call(call("warm"))
                store.outage = true
                val start = clock()
                parts[1].calls.call(call("k")).outcome shouldBe LedgerAnswer.Outcome.NotRun
                clock() - start shouldBeLessThan 1_000
                store.outage = false
                delay(1_000)
                service.executions["k"] shouldBe null
                parts[1].calls.call(call("k")).outcome shouldBe LedgerAnswer.Outcome.Done
            }
        }

        test("after a lost answer of the platform the written object is read back, and the call runs once") {
            LedgerFleet(1).use {
                parts[0].calls.call(call("warm"))
                val losses = AtomicInteger(2)
                store.fault = { if (losses.getAndDecrement() > 0) WriteFault.LOST_AFTER else WriteFault.NONE }
                parts[0].calls.call(call("k")).outcome shouldBe LedgerAnswer.Outcome.Done
                service.executions.getValue("k").get() shouldBe 1
            }
        }

        test("an old owner that was not told of the move cannot run a call") {
            LedgerFleet(2).use {
                parts[0].calls.call(call("warm"))
                move(1, previous = 0, release = false)
                parts[1].calls.call(call("other")).outcome shouldBe LedgerAnswer.Outcome.Done
                parts[0].calls.call(call("k", deadlineMs = 1_000)).outcome shouldBe LedgerAnswer.Outcome.NotRun
                service.executions["k"] shouldBe null
            }
        }

        test("an unreachable owner gives not-run, and a call whose answer was lost is retried without running twice") {
            LedgerFleet(2).use {
                parts[1].calls.call(call("warm"))
                wires.cut += "i1"
                parts[1].calls.call(call("cut")).outcome shouldBe LedgerAnswer.Outcome.NotRun
                wires.cut.clear()
                wires.mute += "i1"
                val answer = coroutineScope { async { parts[1].calls.call(call("mute")) }.also { delay(300) }.also { wires.mute.clear() } }
                answer.await().let { it.outcome to it.replayed } shouldBe (LedgerAnswer.Outcome.Done to true)
                wires.mute += "i1"
                parts[1].calls.call(call("silent", deadlineMs = 500)).outcome shouldBe LedgerAnswer.Outcome.Unknown
                service.executions.values.maxOf { it.get() } shouldBe 1
            }
        }

        test("nothing is sent when the remaining lease is too short") {
            LedgerFleet(1).use {
                clusters[0].leaseMs = 499
                parts[0].calls.call(call("k")).outcome shouldBe LedgerAnswer.Outcome.NotRun
                service.executions["k"] shouldBe null
            }
        }

        test("under random faults and moves each key runs at most once, and no call answered not-run was executed") {
            LedgerFleet(3, CountingService(delayMs = 5)).use {
                val random = Random(20261208)
                val answers = ConcurrentHashMap<String, LedgerAnswer>()
                store.fault = { synchronized(random) { WriteFault.entries[maxOf(0, random.nextInt(20) - 16)] } }
                coroutineScope {
                    val calls =
                        (1..600).map { number ->
                            val instance = random.nextInt(3)
                            val key = "k${random.nextInt(150)}"
                            async(Dispatchers.Default) {
                                delay(number * 8L)
                                answers["r$number"] = parts[instance].calls.call(call(key, id = "r$number", deadlineMs = 2_000))
                            }
                        }
                    var owner = 0
                    repeat(8) {
                        delay(600)
                        val next = (owner + 1) % 3
                        move(next, previous = owner, release = random.nextBoolean())
                        clusters[owner].places.keys.forEach { key -> clusters[owner].places[key] = Ownership.Elsewhere("i${next + 1}") }
                        owner = next
                        wires.mute.clear()
                        if (random.nextInt(3) == 0) wires.mute += "i${owner + 1}"
                    }
                    calls.awaitAll()
                }
                service.executions.filter { it.value.get() > 1 }.shouldBeEmpty()
                answers.filter { it.value.outcome == LedgerAnswer.Outcome.NotRun && it.key in service.ran }.shouldBeEmpty()
                val done = answers.values.count { it.outcome == LedgerAnswer.Outcome.Done }
                println("ledger part: outcomes=${answers.values.groupingBy { it.outcome }.eachCount()} executed=${service.executions.size}")
                done shouldBeGreaterThan 100
            }
        }
    })
