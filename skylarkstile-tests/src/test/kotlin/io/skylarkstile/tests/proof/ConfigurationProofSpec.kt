/*
 * Verifies promise 12 on configuration changes. Guards against a change that reaches an instance late or never, an instance whose
 * configuration goes back to an earlier revision, and lost updates between two operators.
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
                    val monitor = RevisionMonitor(this@withProofFleet)
                    val watching = launch { while (isActive) monitor.poll() }
                    checkChangeApplied("steady", key)

                    // One instance is disconnected from the platform only, so it gets changes from its peers.
                    fleet.proxy.set("""{"links":["platform-entry-2"],"cut":true}""")
                    delay(300)
                    checkChangeApplied("cut off from the platform", key)
                    fleet.proxy.set("""{"links":["platform-entry-2"],"heal":true,"cut":false}""")

                    // Open connections go silent: existing watches deliver nothing more, while new connections work. The reconnected
                    // instance must have reopened its watch before, because a watch opened later would work and relay the change to all.
                    delay(2_000)
                    fleet.proxy.set("""{"links":["platform-*"],"silence":"fromTarget"}""")
                    checkChangeApplied("silent watches", key)

                    // An instance that starts during a platform outage takes the records from its peers.
                    val before = checkNotNull(revisionOrNull(entries[0]))
                    fleet.objects.set("""{"outage":"unavailable"}""")
                    entries[2].process.kill()
                    entries[2].process.start()
                    val startNanos = System.nanoTime()
                    while ((revisionOrNull(entries[2]) ?: 0) < before && sinceMs(startNanos) < START_BOUND_MS) delay(POLL_MS)
                    val startMs = sinceMs(startNanos)
                    println("ConfigurationProofSpec: instance started during an outage had revision $before after $startMs ms")
                    withClue("start during an outage") { startMs shouldBeLessThan START_BOUND_MS }
                    fleet.objects.set("""{"outage":"none"}""")
                    entries[2].process.awaitReady()
                    checkChangeApplied("after the outage", key)

                    watching.cancel()
                    println("ConfigurationProofSpec: ${monitor.polls} revisions read, highest ${monitor.highest}")
                    monitor.decreases.toList().shouldBeEmpty()
                    raceStoreWrites(fleet)
                }
            }
        }
    })

private var changes = 0

/** Writes a new service route and checks that every instance serves it within [BOUND_MS]. */
private suspend fun ProofFleet.checkChangeApplied(
    phase: String,
    key: String,
) = coroutineScope {
    val route = "change-${++changes}"
    val writtenNanos = System.nanoTime()
    fleet.records.serviceRoute(route, "cairo", "registry")
    val times = entries.map { async { it.name to applyTimeMs(it, route, key, writtenNanos) } }.awaitAll()
    println("ConfigurationProofSpec: $phase: in force after $times ms")
    for ((name, ms) in times) withClue("$phase, $name") { ms shouldBeLessThan BOUND_MS }
}

private suspend fun ProofFleet.applyTimeMs(
    entry: EntryInstance,
    route: String,
    key: String,
    writtenNanos: Long,
): Long {
    while (sinceMs(writtenNanos) < 2 * BOUND_MS) {
        if (caller(entry, key, 1_000).call("GET", "/svc/$route/registrations").status == 200) break
        delay(POLL_MS)
    }
    return sinceMs(writtenNanos)
}

/** Two operators update the same version concurrently: exactly one succeeds, and the conflict names the version to start from. */
private suspend fun raceStoreWrites(fleet: Fleet) = coroutineScope {
    val store = fleet.records.store
    repeat(RACE_COUNT) {
        val stored = checkNotNull(store.get("workspace", "cairo").getOrThrow { IllegalStateException("$it") })
        val value = checkNotNull(stored.value)
        val results = (1..2).map { async { store.put("workspace", "cairo", value, stored.version) } }.awaitAll()
        val winner = results.mapNotNull { it.get() }
        withClue("results $results") {
            winner.size shouldBe 1
            results.mapNotNull { it.getError() } shouldBe listOf(StoreError.Conflict(winner.single().version))
        }
    }
    raceCommands(fleet)
}

/** Repeats the race of [raceStoreWrites] with two `skylarkctl set` processes. */
private suspend fun raceCommands(fleet: Fleet) {
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
        println("ConfigurationProofSpec: output of the losing operator: $loser")
        (("conflict" in loser) && ("$current" in loser)) shouldBe true
    }
}

/** Records each decrease of an instance's revision, also across restarts. Revision 0 is ignored: the instance has no records yet. */
private class RevisionMonitor(
    private val proof: ProofFleet,
) {
    val highest = ConcurrentHashMap<String, Long>()
    val decreases = ConcurrentLinkedQueue<String>()
    var polls = 0

    suspend fun poll() {
        for (entry in proof.entries) {
            val revision = proof.revisionOrNull(entry)?.takeIf { it > 0 } ?: continue
            polls++
            val before = highest.merge(entry.name, revision, ::maxOf)
            if (before != null && revision < before) decreases += "${entry.name}: $before -> $revision"
        }
        delay(POLL_MS)
    }
}

private fun sinceMs(startNanos: Long) = (System.nanoTime() - startNanos) / 1_000_000

private const val BOUND_MS = 5_000L
private const val START_BOUND_MS = 10_000L
private const val COMMAND_MS = 10_000L
private const val POLL_MS = 50L
private const val RACE_COUNT = 20
