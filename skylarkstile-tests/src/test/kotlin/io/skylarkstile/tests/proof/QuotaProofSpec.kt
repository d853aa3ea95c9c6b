/*
 * Promise 6: no workspace exceeds its rate and burst over all instances together, whatever happens to the instances.
 * Guards against shares that two holders use at once: after a pause, a kill, a replacement, a cut between instances or an outage.
 */
package io.skylarkstile.tests.proof

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.skylarkstile.bench.fleet.EntryInstance
import io.skylarkstile.bench.fleet.Fleet
import io.skylarkstile.tests.harness.Ask
import io.skylarkstile.tests.harness.Caller
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

/** A request that was admitted at some time between [sent] and [answered], in seconds. */
private data class Admitted(
    val sent: Double,
    val answered: Double,
)

/** Returns by how much the requests that lie wholly within some window exceed what the rate allows for it; 0 or less is within. */
private fun largestExcess(admitted: List<Admitted>): Double {
    val byAnswer = admitted.sortedBy { it.answered }
    return admitted.maxOf { first ->
        var inside = 0
        byAnswer.filter { it.sent >= first.sent }.maxOf { last ->
            inside++
            inside - (RATE * (last.answered - first.sent) + BURST)
        }
    }
}

private class Flood(
    private val fleet: Fleet,
    private val key: String,
) {
    val admitted = ConcurrentLinkedQueue<Admitted>()

    /** Sends requests to [entry] at a steady pace until the returned job is cancelled. */
    fun CoroutineScope.flood(entry: EntryInstance): Job = launch(Dispatchers.Default) {
        val caller = Caller(fleet.client, entry.addresses.caller, key, idleTimeoutMs = 15_000)
        while (true) {
            launch { send(caller) }
            delay(1_000L / OFFERED_PER_INSTANCE)
        }
    }

    private suspend fun send(caller: Caller) {
        val sent = System.nanoTime() / NANOS_PER_SECOND
        val reply = caller.send(Ask("stamps", maxTokens = 1, stream = false))
        if (reply.status == 200) admitted += Admitted(sent, System.nanoTime() / NANOS_PER_SECOND)
    }
}

class QuotaProofSpec :
    FunSpec({
        suspend fun Fleet.prepared(): String {
            start()
            records.workspace("cairo", requestsPerSecond = RATE, requestBurst = BURST)
            records.adapter("stamps", "cairo")
            engine("engine-1", settings = """{"stepMs":2}""")
            engine("engine-2", settings = """{"stepMs":2}""")
            return records.key("cairo-1", "cairo")
        }

        test("admissions stay within rate and burst through a pause, a kill, a replacement, a cut and an outage of the platform") {
            Fleet("quota", proxied = true).use { fleet ->
                val key = fleet.prepared()
                val entries = (1..3).map { fleet.launchEntry("entry-$it") }.toMutableList()
                entries.forEach { it.process.awaitReady() }
                val flood = Flood(fleet, key)
                coroutineScope {
                    val jobs = with(flood) { entries.map { flood(it) } }.toMutableList()
                    delay(2_000)
                    entries[1].process.pause()
                    delay(7_000)
                    entries[1].process.resume()
                    delay(2_000)
                    entries[2].process.kill()
                    delay(1_000)
                    val replacement = fleet.entry("entry-4")
                    jobs += with(flood) { flood(replacement) }
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
                val admitted = flood.admitted.toList()
                withClue("${admitted.size} admitted of several times the rate") {
                    admitted.size shouldBeGreaterThan (RATE * 8).toInt()
                    largestExcess(admitted) shouldBeLessThanOrEqual 0.0
                }
            }
        }
    })
