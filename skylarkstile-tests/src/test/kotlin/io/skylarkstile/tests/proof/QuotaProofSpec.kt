/*
 * Verifies promise 6: no workspace exceeds its rate and burst over all instances together, whichever faults the instances meet.
 * Guards against a quota share that two instances use at the same time after a pause, a kill, a replacement, a network partition or a
 * platform outage.
 */
package io.skylarkstile.tests.proof

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.skylarkstile.bench.fleet.EntryInstance
import io.skylarkstile.bench.fleet.Fleet
import io.skylarkstile.tests.harness.Caller
import io.skylarkstile.tests.harness.ModelRequest
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentLinkedQueue

private const val RATE = 30.0
private const val BURST = 30.0
private const val OFFERED_PER_INSTANCE = 40
private const val NANOS_PER_SECOND = 1e9

/** A request that was admitted at an unknown time between [sent] and [answered], both in seconds. */
private data class Admitted(
    val sent: Double,
    val answered: Double,
)

/** Returns the largest excess of admitted requests over the quota in any time window; a result of 0 or less is within the quota. */
private fun largestExcess(admitted: List<Admitted>): Double {
    val byAnswer = admitted.sortedBy { it.answered }
    return admitted.maxOf { first ->
        var count = 0
        byAnswer.filter { it.sent >= first.sent }.maxOf { last ->
            count++
            count - (RATE * (last.answered - first.sent) + BURST)
        }
    }
}

private class ConstantLoad(
    private val fleet: Fleet,
    private val key: String,
) {
    val admitted = ConcurrentLinkedQueue<Admitted>()

    /** Sends requests to [entry] at a constant rate, above the quota, until the returned job is cancelled. */
    fun CoroutineScope.sendConstantly(entry: EntryInstance): Job = launch(Dispatchers.Default) {
        val caller = Caller(fleet.client, entry.addresses.caller, key, idleTimeoutMs = 15_000)
        while (true) {
            launch { send(caller) }
            delay(1_000L / OFFERED_PER_INSTANCE)
        }
    }

    private suspend fun send(caller: Caller) {
        val sent = System.nanoTime() / NANOS_PER_SECOND
        val reply = caller.send(ModelRequest("stamps", maxTokens = 1, stream = false))
        if (reply.status == 200) admitted += Admitted(sent, System.nanoTime() / NANOS_PER_SECOND)
    }
}

class QuotaProofSpec :
    FunSpec({
        suspend fun Fleet.startWithRecords(): String {
            start()
            records.workspace("cairo", requestsPerSecond = RATE, requestBurst = BURST)
            records.adapter("stamps", "cairo")
            engine("engine-1", settings = """{"stepMs":2}""")
            engine("engine-2", settings = """{"stepMs":2}""")
            return records.key("cairo-1", "cairo")
        }

        test("admissions stay within rate and burst through a pause, a kill, a replacement, a cut and an outage of the platform") {
            Fleet("quota", proxied = true).use { fleet ->
                val key = fleet.startWithRecords()
                val entries = (1..3).map { fleet.launchEntry("entry-$it") }.toMutableList()
                entries.forEach { it.process.awaitReady() }
                val load = ConstantLoad(fleet, key)
                coroutineScope {
                    val jobs = with(load) { entries.map { sendConstantly(it) } }.toMutableList()
                    delay(2_000)
                    entries[1].process.pause()
                    delay(7_000)
                    entries[1].process.resume()
                    delay(2_000)
                    entries[2].process.kill()
                    delay(1_000)
                    val replacement = fleet.entry("entry-4")
                    jobs += with(load) { sendConstantly(replacement) }
                    fleet.proxy.set("""{"links":["peers-entry-1"],"cut":true}""")
                    fleet.proxy.set("""{"links":["peers-*"],"from":"entry-1","cut":true}""")
                    delay(5_000)
                    fleet.proxy.set("""{"links":["peers-*"],"heal":true}""")
                    fleet.proxy.set("""{"links":["peers-*"],"from":"entry-1","heal":true}""")
                    fleet.objects.set("""{"outage":"unavailable"}""")
                    delay(5_000)
                    fleet.objects.set("""{"outage":"none"}""")
                    delay(2_000)
                    jobs.forEach { it.cancel() }
                }
                val admitted = load.admitted.toList()
                withClue("${admitted.size} requests admitted while callers offered several times the rate") {
                    admitted.size shouldBeGreaterThan (RATE * 8).toInt()
                    largestExcess(admitted) shouldBeLessThanOrEqual 0.0
                }
            }
        }
    })
