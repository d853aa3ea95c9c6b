/*
 * Promise 12: guards against a change that is late or missing on an instance, a configuration that reverts, and a lost update between
 * two operators.
 */
package io.skylarkstile.tests.proof

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrThrow
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.skylarkstile.bench.fleet.ChildProcess
import io.skylarkstile.bench.fleet.EntryInstance
import io.skylarkstile.bench.fleet.Fleet
import io.skylarkstile.transport.platform.StoreError
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue

class ConfigurationProofSpec :
    FunSpec({
        test("a change is in force on every instance in time and never reverts, through cuts, restarts and a platform outage") {
            withProofFleet("proof-config") {
                val key = fleet.records.key("cairo-1", "cairo")
                coroutineScope {
                    val seen = RevisionWatch(this@withProofFleet)
                    val watching = launch { while (isActive) seen.look() }
                    changeInForce("steady", key)

                    // Cut off from the platform only: changes come from peers.
                    fleet.proxy.set("""{"links":["platform-entry-2"],"cut":true}""")
                    delay(300)
                    changeInForce("cut off from the platform", key)
                    fleet.proxy.set("""{"links":["platform-entry-2"],"heal":true,"cut":false}""")

                    // Silent connections: the open watches never answer again, while new connections work. The healed instance must hold its
                    // watch again before, or its new watch would bring the change to all.
                    delay(2_000)
                    fleet.proxy.set("""{"links":["platform-*"],"silence":"fromTarget"}""")
                    changeInForce("silent watches", key)

                    // A start during an outage takes the records from peers.
                    val before = checkNotNull(revisionOrNull(entries[0]))
                    fleet.objects.set("""{"outage":"unavailable"}""")
                    entries[2].process.kill()
                    entries[2].process.start()
                    val begin = System.nanoTime()
                    while ((revisionOrNull(entries[2]) ?: 0) < before && sinceMs(begin) < START_MS) delay(POLL_MS)
                    val startMs = sinceMs(begin)
                    println("ConfigurationProofSpec: start during an outage knew revision $before after $startMs ms")
                    withClue("start during an outage") { startMs shouldBeLessThan START_MS }
                    fleet.objects.set("""{"outage":"none"}""")
                    entries[2].process.awaitReady()
                    changeInForce("after the outage", key)

                    watching.cancel()
                    println("ConfigurationProofSpec: ${seen.looks} looks, highest ${seen.highest}")
                    seen.falls.toList().shouldBeEmpty()
                    raceOfOperators(fleet)
                }
            }
        }
    })

private var changes = 0

/** Writes a new open route and waits until every instance serves it. */
private suspend fun ProofFleet.changeInForce(
    phase: String,
    key: String,
) = coroutineScope {
    val route = "change-${++changes}"
    val written = System.nanoTime()
    fleet.records.serviceRoute(route, "cairo", "registry")
    val times = entries.map { async { it.name to inForceMs(it, route, key, written) } }.awaitAll()
    println("ConfigurationProofSpec: $phase: in force after $times ms")
    for ((name, ms) in times) withClue("$phase, $name") { ms shouldBeLessThan BOUND_MS }
}

private suspend fun ProofFleet.inForceMs(
    entry: EntryInstance,
    route: String,
    key: String,
    written: Long,
): Long {
    while (sinceMs(written) < 2 * BOUND_MS) {
        if (caller(entry, key, 1_000).call("GET", "/svc/$route/registrations").status == 200) break
        delay(POLL_MS)
    }
    return sinceMs(written)
}

/** Two operators read one version and write; exactly one wins, and the other learns the version to start from. */
private suspend fun raceOfOperators(fleet: Fleet) = coroutineScope {
    val store = fleet.records.store
    repeat(RACES) {
        val read = checkNotNull(store.get("workspace", "cairo").getOrThrow { IllegalStateException("$it") })
        val value = checkNotNull(read.value)
        val results = (1..2).map { async { store.put("workspace", "cairo", value, read.version) } }.awaitAll()
        val winner = results.mapNotNull { it.get() }
        withClue("results $results") {
            winner.size shouldBe 1
            results.mapNotNull { it.getError() } shouldBe listOf(StoreError.Conflict(winner.single().version))
        }
    }
    raceOfCommands(fleet)
}

/** The same race with the operator's command. */
private suspend fun raceOfCommands(fleet: Fleet) {
    val version =
        checkNotNull(
            fleet.records.store
                .get("workspace", "cairo")
                .get(),
        ).version
    val operators =
        (1..2).map { n ->
            val set = listOf("--platform", fleet.objects.address, "set", "workspace", "cairo", "weight=$n.5", "--if-version", "$version")
            ChildProcess("operator-$n", "io.skylarkstile.ctl.main.MainKt", set, java.io.File("target/harness/operators")).start()
        }
    val exits = operators.map { it.awaitExitOrNull(COMMAND_MS) }
    withClue(operators.map { it.tail() }) {
        exits.count { it == 0 } shouldBe 1
        val current =
            checkNotNull(
                fleet.records.store
                    .get("workspace", "cairo")
                    .get(),
            ).version
        val loser = operators[exits.indexOfFirst { it != 0 }].tail()
        println("ConfigurationProofSpec: the losing operator reads: $loser")
        (("conflict" in loser) && ("$current" in loser)) shouldBe true
    }
}

/** Notes each fall of a revision at an instance, also over its restarts; an instance without records yet (revision 0) serves nothing. */
private class RevisionWatch(
    private val proof: ProofFleet,
) {
    val highest = ConcurrentHashMap<String, Long>()
    val falls = ConcurrentLinkedQueue<String>()
    var looks = 0

    suspend fun look() {
        for (entry in proof.entries) {
            val revision = proof.revisionOrNull(entry)?.takeIf { it > 0 } ?: continue
            looks++
            val before = highest.merge(entry.name, revision, ::maxOf)
            if (before != null && revision < before) falls += "${entry.name}: $before -> $revision"
        }
        delay(POLL_MS)
    }
}

private fun sinceMs(begin: Long) = (System.nanoTime() - begin) / 1_000_000

private const val BOUND_MS = 5_000L
private const val START_MS = 10_000L
private const val COMMAND_MS = 10_000L
private const val POLL_MS = 50L
private const val RACES = 20
