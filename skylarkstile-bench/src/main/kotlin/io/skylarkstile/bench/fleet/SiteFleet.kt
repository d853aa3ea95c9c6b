/*
 * Starts a complete site with the sizes of a profile, for benchmarks.
 */
package io.skylarkstile.bench.fleet

import com.github.michaelbull.result.getError
import io.skylarkstile.bench.trace.Profile
import io.skylarkstile.bench.trace.adaptersOf
import io.skylarkstile.bench.trace.limitsOf
import io.skylarkstile.config.ini.readIni
import io.skylarkstile.config.settings.checkEntrySettings
import io.skylarkstile.schema.generated.TargetRecord
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import java.io.File

/** Number of entry instances of a site. */
const val ENTRY_COUNT = 6

/** Write and read limits per second of the object API during the setup, and its write limit during a run. */
private const val SETUP_WRITES_PER_SECOND = 100_000
private const val RUN_WRITES_PER_SECOND = 400
private const val WRITES_AT_ONCE = 32

/**
 * Starts the object API, the weight store, the engines and service replicas of [profile] and 6 entry instances, and writes the records.
 * [overrides] sets individual settings of the entry instances, named `section.key`. The weight store and all targets share one process.
 */
class SiteFleet(
    private val profile: Profile,
    directory: File,
    private val overrides: Map<String, String> = emptyMap(),
) : AutoCloseable {
    private val names = (1..ENTRY_COUNT).map { "entry-$it" }

    val fleet = Fleet("bench", entryNames = names, directory = directory)

    /** API keys by workspace; [start] must have returned. */
    lateinit var keys: Map<String, String>
        private set
    lateinit var weights: StandinControl
        private set
    lateinit var entries: List<EntryInstance>
        private set

    val engines: List<FleetTarget> get() = fleet.targets.filter { it.record.type == TargetRecord.Type.Engine }

    /** Starts the site and returns when all entry instances are ready. */
    suspend fun start(): SiteFleet {
        fleet.start("""{"writesPerSecond":$SETUP_WRITES_PER_SECOND,"readsPerSecond":$SETUP_WRITES_PER_SECOND}""")
        weights = fleet.sharedTargets(targetRecords())
        val storeLimits = """"loadsPerSecond":${profile.storeLoadsPerSecond},"loadsAtOnce":${profile.storeLoadsAtOnce}"""
        weights.set("""{$storeLimits,"adaptersInFlight":${profile.adaptersInFlight},"loadMs":${profile.loadMs}}""")
        writeRecords()
        keys = profile.workspaces.associate { it.name to fleet.records.key(it.name, it.name) }
        fleet.objects.set("""{"writesPerSecond":$RUN_WRITES_PER_SECOND,"readsPerSecond":2000}""")
        entries = names.mapIndexed { i, name -> fleet.launchEntry(name, dataCentre(i), loadSettings(profile) + overrides) }
        entries.forEach { it.process.awaitReady(READY_TIMEOUT_MS) }
        return this
    }

    override fun close() = fleet.close()

    private fun targetRecords(): Map<String, TargetRecord> {
        val engines =
            (0 until profile.engines).map { i ->
                val type = TargetRecord.Type.Engine
                "engine-$i" to
                    TargetRecord(1, type, freeAddress(), dataCentre(i), profile.slots, profile.maxRunning, false, baseModel = BASE_MODEL)
            }
        val services =
            (0 until profile.services).map { i ->
                "service-$i" to TargetRecord(1, TargetRecord.Type.Service, freeAddress(), dataCentre(i), service = SERVICE)
            }
        return (engines + services).toMap()
    }

    private suspend fun writeRecords() {
        val records = fleet.records
        profile.workspaces.forEachIndexed { i, workspace ->
            val limits = limitsOf(profile, workspace)
            records.workspace(workspace.name, limits.requestsPerSecond, limits.requestBurst, limits.tokensPerSecond, limits.tokenBurst)
            records.serviceRoute("${workspace.name}-$SERVICE", workspace.name, SERVICE)
            adaptersOf(profile, i).chunked(WRITES_AT_ONCE).forEach { batch ->
                coroutineScope { batch.map { async { records.adapter(it, workspace.name) } }.awaitAll() }
            }
        }
    }

    private fun dataCentre(index: Int) = "dc${index % profile.dataCentres + 1}"

    private companion object {
        const val SERVICE = "registry"
        const val READY_TIMEOUT_MS = 60_000L
    }
}

private fun loadSettings(profile: Profile): Map<String, String> = mapOf(
    "load.loadsPerSecond" to "${profile.storeLoadsPerSecond}",
    "load.loadsAtOnce" to "${profile.storeLoadsAtOnce}",
    "load.adaptersInFlight" to "${profile.adaptersInFlight}",
)

/** Returns the errors that an entry instance would report for [overrides], one per line; empty when they are valid. */
fun settingFindings(overrides: Map<String, String>): List<String> {
    val file = File.createTempFile("skylarkstile-bench", ".ini")
    try {
        val addresses = EntryAddresses("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:1", "127.0.0.1:2")
        writeSettings(file, entryDefaults("entry-1", "dc1", addresses, "127.0.0.1:4", emptyList()) + overrides)
        return checkEntrySettings(readIni(file.toPath())).getError().orEmpty().map { "$it" }
    } finally {
        file.delete()
    }
}
