/*
 * Guards against an instance whose memory hostile callers use up, or that answers nobody else meanwhile. The heap is just above that of the
 * formula in section 6 of the design for the settings below.
 */
package io.skylarkstile.tests.proof

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import io.skylarkstile.bench.fleet.ChildProcess
import io.skylarkstile.bench.fleet.EntryAddresses
import io.skylarkstile.bench.fleet.Fleet
import io.skylarkstile.bench.fleet.entryDefaults
import io.skylarkstile.bench.fleet.freeAddress
import io.skylarkstile.bench.fleet.writeSettings
import io.skylarkstile.tests.harness.Ask
import io.skylarkstile.tests.harness.Caller
import io.skylarkstile.tests.harness.Reply
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.io.File

private const val HEAP = "54m"

/** Tries of one call; the instance is the only one, so there is no other address to try. */
private const val ATTEMPTS = 5
private const val ATTACK_MS = 6_000L

private val SMALL =
    mapOf(
        "http.maxConnections" to "150",
        "http.maxBodyBytes" to "262144",
        "http.maxBufferedBytes" to "2097152",
        "http.readAheadBytes" to "1048576",
        "http.readTimeoutMs" to "2000",
        "http.writeTimeoutMs" to "2000",
    )

class HostileInputProofSpec :
    FunSpec({
        test("an instance with a small heap outlives hostile callers of all kinds and answers the others whole") {
            Fleet("proof-hostile").use { fleet ->
                fleet.start()
                fleet.records.workspace("cairo", requestsPerSecond = 100_000.0, requestBurst = 100_000.0)
                fleet.records.adapter("cairo-stamps", "cairo")
                fleet.records.serviceRoute("cairo-service", "cairo", "registry")
                val key = fleet.records.key("cairo-1", "cairo")
                fleet.engine("engine-1", settings = """{"stepMs":1.0}""")
                fleet.service("registry-1", "registry")
                val entry = startEntry(fleet)
                val caller = Caller(fleet.client, entry.address, key, 5_000)
                repeat(3) {
                    caller.call("POST", "/svc/cairo-service/registrations", "\"${"x".repeat(150_000)}\"").status shouldBe 201
                }
                val replies = HostileCallers(entry.address, key).use { attack(it, caller) }
                val first = replies.groupingBy { it.first().run { "$status $outcome $failure" } }.eachCount()
                println("HostileInputProofSpec: ${replies.size} calls, first answers $first, attempts ${replies.sumOf { it.size }}")
                withClue(entry.tail()) {
                    entry.isAlive shouldBe true
                    entry.log.readText() shouldNotContain "OutOfMemoryError"
                    replies.size shouldBeGreaterThan 10
                    replies.filter { !it.last().whole || it.last().status != 200 } shouldBe emptyList()
                    delay(1_000)
                    repeat(5) { caller.send(ask(it)).shouldAnswer(ask(it)) }
                }
            }
        }
    })

private fun ask(n: Int) = Ask("cairo-stamps", prompt = "plate $n ${"w".repeat(500)}", maxTokens = 6, stream = n % 2 == 0)

private suspend fun attack(
    hostile: HostileCallers,
    caller: Caller,
): List<List<Reply>> = coroutineScope {
    hostile.start()
    val end = System.nanoTime() + ATTACK_MS * 1_000_000
    val honest =
        (0 until 4).map { c ->
            async {
                buildList {
                    var n = c * 1_000
                    while (System.nanoTime() < end) {
                        add(attempts(caller, ask(n)))
                        n++
                        delay(20)
                    }
                }
            }
        }
    honest.awaitAll().flatten().also { println("HostileInputProofSpec: ${hostile.opened} hostile connections") }
}

/** Sends [ask] again, as callers do, when the flood took the connection or the answer is a refusal; no other answer may be wrong. */
private suspend fun attempts(
    caller: Caller,
    ask: Ask,
): List<Reply> = buildList {
    do {
        if (isNotEmpty()) delay(50)
        val reply = caller.send(ask).also { add(it) }
        val isWhole = reply.status == 200 && reply.whole
        if (isWhole) reply.shouldAnswer(ask)
    } while (!isWhole && size < ATTEMPTS)
}

private suspend fun startEntry(fleet: Fleet): ChildProcess {
    val (caller, peer, admin) = List(3) { freeAddress() }
    val directory = File("target/harness/proof-hostile")
    val file = File(directory, "entry-1.ini")
    val addresses = EntryAddresses(caller, peer, admin, caller, peer)
    writeSettings(file, entryDefaults("entry-1", "dc1", addresses, fleet.objects.address, emptyList()) + SMALL)
    val process = ChildProcess("entry-1", "io.skylarkstile.entry.main.MainKt", listOf("--settings", file.path), directory, HEAP)
    return process.start().awaitReady()
}
