/*
 * Starts a complete system of real processes on loopback: the object API, engines, services, the weight store, entry instances and,
 * optionally, a fault proxy on each connection between them.
 */
package io.skylarkstile.bench.fleet

import io.skylarkstile.schema.generated.TargetRecord
import io.skylarkstile.transport.http.httpClient
import io.skylarkstile.transport.platform.ListedInstance
import io.skylarkstile.transport.platform.objectStore
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import java.io.File
import java.util.concurrent.CopyOnWriteArrayList

/** One target of a fleet; [address] is the one in its record, which leads through the fault proxy in a proxied fleet. */
class FleetTarget(
    val name: String,
    val process: ChildProcess,
    val control: StandinControl,
    val address: String,
    val record: TargetRecord,
)

/**
 * Starts and ends the processes of one test or run; targets may be started concurrently. With [proxied], each connection between two
 * processes leads through a link of the fault proxy. Settings files and logs are written to [directory].
 */
class Fleet(
    name: String,
    private val proxied: Boolean = false,
    private val entryNames: List<String> = (1..12).map { "entry-$it" },
    private val directory: File = File("target/harness/$name-${System.currentTimeMillis()}"),
) : AutoCloseable {
    val client = httpClient(connectTimeoutMs = 1_000)
    private val processes = CopyOnWriteArrayList<ChildProcess>()
    private val listedInstances = mutableListOf<ListedInstance>()
    private val entries = CopyOnWriteArrayList<EntryInstance>()

    /** Serializes updates of the platform's instance list, which is always written as a whole. */
    private val listMutex = Mutex()

    private val started = CopyOnWriteArrayList<FleetTarget>()

    /** Engines and services in the order in which they became ready. */
    val targets: List<FleetTarget> get() = started

    /** Control API of the object API stand-in; [start] must have returned. */
    lateinit var objects: StandinControl
        private set
    lateinit var records: RecordWriter
        private set

    /** Control API of the fault proxy; available only in a proxied fleet. */
    lateinit var proxy: StandinControl
        private set
    private var weightsAddress: String? = null

    /** Starts the object API and, in a proxied fleet, the proxy. [settings] is a JSON object for the control API of the object API. */
    suspend fun start(settings: String = "{}"): Fleet {
        val platform = startStandin("objects", "objects", settings)
        if (proxied) proxy = StandinControl(client, startStandin("proxy", "proxy").address)
        objects = StandinControl(client, platform.address)
        records = RecordWriter(objectStore(platform.address, client, STORE_TIMEOUT_MS))
        return this
    }

    /** Starts the weight store, which engines started later load from. */
    suspend fun weights(settings: String = "{}"): StandinControl {
        val address = startStandin("weights", "weights", settings).address
        weightsAddress = address
        return StandinControl(client, address)
    }

    /** Starts an engine and writes its record. */
    suspend fun engine(
        name: String,
        dataCentre: String = "dc1",
        slots: Int = 16,
        maxRunning: Int = 32,
        fencing: Boolean = false,
        settings: String = "{}",
    ): FleetTarget {
        val weights = weightsAddress?.let { listOf("--weights", viaProxy("weights-$name", it)) }.orEmpty()
        val options = listOf("--slots", "$slots", "--fencing", "$fencing") + weights
        val process = startStandin("engine", name, settings, options)
        val address = viaProxy("target-$name", process.address)
        val record = TargetRecord(1, TargetRecord.Type.Engine, address, dataCentre, slots, maxRunning, fencing, baseModel = BASE_MODEL)
        return target(name, process, record)
    }

    /**
     * Starts the weight store and all [replicas] in one process and writes the records of [replicas]. At the size of a site, one process
     * per target is too much for one machine. Returns the control API of the weight store. The fleet must not be proxied.
     */
    suspend fun sharedTargets(replicas: Map<String, TargetRecord>): StandinControl {
        require(!proxied) { "targets that share a process cannot be proxied" }
        val file = File(directory, "targets.ini")
        writeSettings(file, replicas.flatMap { (name, record) -> sectionOf(name, record) }.toMap())
        val process =
            ChildProcess("targets", TARGETS_MAIN, listOf("--records", file.path, "--weights", freeAddress()), directory, SHARED_HEAP)
        processes += process
        process.start().awaitReady()
        replicas.forEach { (name, record) -> records.target(name, record) }
        listedInstances += replicas.map { (name, record) -> ListedInstance(name, record.address, record.dataCentre, "live") }
        objects.set("""{"instances":${Json.encodeToString(listedInstances)}}""")
        started +=
            replicas.map { (name, record) -> FleetTarget(name, process, StandinControl(client, record.address), record.address, record) }
        return StandinControl(client, process.address)
    }

    /** Starts a replica of the plain service [service] and writes its record. */
    suspend fun service(
        name: String,
        service: String,
        dataCentre: String = "dc1",
        settings: String = "{}",
    ): FleetTarget {
        val process = startStandin("service", name, settings)
        val address = viaProxy("target-$name", process.address)
        return target(name, process, TargetRecord(1, TargetRecord.Type.Service, address, dataCentre, service = service))
    }

    /**
     * Starts an entry instance and waits until it is ready. [overrides] sets individual settings, named `section.key`. Its proxy links are
     * `platform-<name>`, `peers-<name>` (with the other instances as callers) and `callers-<name>`.
     */
    suspend fun entry(
        name: String,
        dataCentre: String = "dc1",
        overrides: Map<String, String> = emptyMap(),
    ): EntryInstance = launchEntry(name, dataCentre, overrides).also { it.process.awaitReady() }

    /** Starts an entry instance without waiting until it is ready; see [entry]. */
    suspend fun launchEntry(
        name: String,
        dataCentre: String = "dc1",
        overrides: Map<String, String> = emptyMap(),
    ): EntryInstance {
        require(name in entryNames) { "$name is not one of the entry names that this fleet was created with" }
        val caller = freeAddress()
        val peer = freeAddress()
        val admin = freeAddress()
        val addresses =
            EntryAddresses(
                caller,
                peer,
                admin,
                viaProxy("callers-$name", caller),
                viaProxy(
                    "peers-$name",
                    peer,
                    entryNames - name,
                ),
            )
        val defaults = entryDefaults(name, dataCentre, addresses, viaProxy("platform-$name", objects.address), entries)
        val file = File(directory, "$name.ini")
        writeSettings(file, defaults + overrides)
        val process = ChildProcess(name, ENTRY_MAIN, listOf("--settings", file.path), directory)
        processes += process
        return EntryInstance(name, process.start(), addresses).also { entries += it }
    }

    /** Kills all processes of the fleet. */
    override fun close() {
        processes.filter { it.isAlive }.forEach { it.kill() }
        client.close()
    }

    /** Adds the proxy link [name] to [target] and returns its address; returns [target] itself when the fleet is not proxied. */
    private suspend fun viaProxy(
        name: String,
        target: String,
        callers: List<String> = emptyList(),
    ): String {
        if (!proxied) return target
        val names = Json.encodeToString(callers)
        proxy.set("""{"add":[{"name":"$name","listen":"${freeAddress()}","target":"$target","callers":$names}]}""")
        return (proxy.link(name).jsonObject.getValue("listen") as JsonPrimitive).content
    }

    private suspend fun target(
        name: String,
        process: ChildProcess,
        record: TargetRecord,
    ): FleetTarget {
        records.target(name, record)
        listMutex.withLock {
            listedInstances += ListedInstance(name, record.address, record.dataCentre, "live")
            objects.set("""{"instances":${Json.encodeToString(listedInstances)}}""")
        }
        return FleetTarget(name, process, StandinControl(client, process.address), record.address, record).also { started += it }
    }

    private suspend fun startStandin(
        type: String,
        name: String,
        settings: String = "{}",
        options: List<String> = emptyList(),
    ): ChildProcess {
        val control = if (type == "proxy") emptyList() else listOf("--control", settings)
        val arguments = listOf(type, "--listen", freeAddress()) + control + options
        val process = ChildProcess(name, STANDIN_MAIN, arguments, directory)
        processes += process
        return process.start().awaitReady()
    }

    private companion object {
        const val STANDIN_MAIN = "io.skylarkstile.standin.main.MainKt"
        const val TARGETS_MAIN = "io.skylarkstile.dist.main.MainKt"
        const val SHARED_HEAP = "512m"
        const val ENTRY_MAIN = "io.skylarkstile.entry.main.MainKt"
        const val STORE_TIMEOUT_MS = 3_000L
    }
}

private fun sectionOf(
    name: String,
    record: TargetRecord,
): List<Pair<String, String>> = listOfNotNull(
    "schemaVersion" to "${record.schemaVersion}",
    "type" to record.type.value,
    "address" to record.address,
    "dataCentre" to record.dataCentre,
    "slots" to "${record.slots}",
    "maxRunning" to "${record.maxRunning}",
    record.baseModel?.let { "baseModel" to it },
    record.service?.let { "service" to it },
).map { (key, value) -> "target $name.$key" to value }
