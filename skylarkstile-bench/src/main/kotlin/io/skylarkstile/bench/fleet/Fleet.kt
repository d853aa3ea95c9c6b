/*
 * A whole system of real processes on loopback: the object API, engines, services, the weight store, entry instances and, when
 * asked for, a fault proxy on each edge between them.
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

/** One target of a fleet; [address] is the one in its record, behind the proxy where there is one. */
class FleetTarget(
    val name: String,
    val process: ChildProcess,
    val control: Control,
    val address: String,
    val record: TargetRecord,
)

/**
 * Starts and ends the processes of one test or run; targets may be started concurrently. [proxied] puts a link of the fault proxy on
 * each edge. Settings files and logs are kept in [directory].
 */
class Fleet(
    name: String,
    private val proxied: Boolean = false,
    private val entryNames: List<String> = (1..12).map { "entry-$it" },
    private val directory: File = File("target/harness/$name-${System.currentTimeMillis()}"),
) : AutoCloseable {
    val client = httpClient(connectTimeoutMs = 1_000)
    private val children = CopyOnWriteArrayList<ChildProcess>()
    private val listed = mutableListOf<ListedInstance>()
    private val entries = CopyOnWriteArrayList<EntryInstance>()

    /** Serialises changes of the instance list, which is written whole. */
    private val listing = Mutex()

    private val started = CopyOnWriteArrayList<FleetTarget>()

    /** Engines and services in the order in which they were ready. */
    val targets: List<FleetTarget> get() = started

    /** The object API; [start] must have run. */
    lateinit var objects: Control
        private set
    lateinit var records: Records
        private set

    /** The fault proxy; only in a proxied fleet. */
    lateinit var proxy: Control
        private set
    private var weightsAddress: String? = null

    /** Starts the object API and, in a proxied fleet, the proxy. [settings] is a control body of the object API. */
    suspend fun start(settings: String = "{}"): Fleet {
        val platform = standin("objects", "objects", settings)
        if (proxied) proxy = Control(client, standin("proxy", "proxy").address)
        objects = Control(client, platform.address)
        records = Records(objectStore(platform.address, client, STORE_TIMEOUT_MS))
        return this
    }

    /** Starts the weight store; engines started later load from it. */
    suspend fun weights(settings: String = "{}"): Control {
        val address = standin("weights", "weights", settings).address
        weightsAddress = address
        return Control(client, address)
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
        val weights = weightsAddress?.let { listOf("--weights", edge("weights-$name", it)) }.orEmpty()
        val options = listOf("--slots", "$slots", "--fencing", "$fencing") + weights
        val process = standin("engine", name, settings, options)
        val address = edge("target-$name", process.address)
        val record = TargetRecord(1, TargetRecord.Type.Engine, address, dataCentre, slots, maxRunning, fencing, baseModel = BASE_MODEL)
        return target(name, process, record)
    }

    /**
     * Starts the weight store and all [replicas] in one process, since a process for each is too much for one machine at the sizes of a
     * site, and writes their records. Returns the controls of the weight store. The fleet must not be proxied.
     */
    suspend fun sharedTargets(replicas: Map<String, TargetRecord>): Control {
        require(!proxied) { "targets that share a process have no edges of their own" }
        val file = File(directory, "targets.ini")
        writeSettings(file, replicas.flatMap { (name, record) -> sectionOf(name, record) }.toMap())
        val process =
            ChildProcess("targets", TARGETS_MAIN, listOf("--records", file.path, "--weights", freeAddress()), directory, SHARED_HEAP)
        children += process
        process.start().awaitReady()
        replicas.forEach { (name, record) -> records.target(name, record) }
        listed += replicas.map { (name, record) -> ListedInstance(name, record.address, record.dataCentre, "live") }
        objects.set("""{"instances":${Json.encodeToString(listed)}}""")
        started += replicas.map { (name, record) -> FleetTarget(name, process, Control(client, record.address), record.address, record) }
        return Control(client, process.address)
    }

    /** Starts a replica of the plain service [service] and writes its record. */
    suspend fun service(
        name: String,
        service: String,
        dataCentre: String = "dc1",
        settings: String = "{}",
    ): FleetTarget {
        val process = standin("service", name, settings)
        val address = edge("target-$name", process.address)
        return target(name, process, TargetRecord(1, TargetRecord.Type.Service, address, dataCentre, service = service))
    }

    /**
     * Starts an entry instance and waits until it is ready. [overrides] sets single keys, named `section.key`.
     * Its edges are the links `platform-<name>`, `peers-<name>` (with the other instances as callers) and `callers-<name>`.
     */
    suspend fun entry(
        name: String,
        dataCentre: String = "dc1",
        overrides: Map<String, String> = emptyMap(),
    ): EntryInstance = launchEntry(name, dataCentre, overrides).also { it.process.awaitReady() }

    /** Starts an entry instance without waiting for its readiness; see [entry]. */
    suspend fun launchEntry(
        name: String,
        dataCentre: String = "dc1",
        overrides: Map<String, String> = emptyMap(),
    ): EntryInstance {
        require(name in entryNames) { "$name is not one of the names that the proxy can tell apart" }
        val caller = freeAddress()
        val peer = freeAddress()
        val admin = freeAddress()
        val addresses = EntryAddresses(caller, peer, admin, edge("callers-$name", caller), edge("peers-$name", peer, entryNames - name))
        val defaults = entryDefaults(name, dataCentre, addresses, edge("platform-$name", objects.address), entries)
        val file = File(directory, "$name.ini")
        writeSettings(file, defaults + overrides)
        val process = ChildProcess(name, ENTRY_MAIN, listOf("--settings", file.path), directory)
        children += process
        return EntryInstance(name, process.start(), addresses).also { entries += it }
    }

    /** Ends all processes of the fleet. */
    override fun close() {
        children.filter { it.isAlive }.forEach { it.kill() }
        client.close()
    }

    /** Returns the address that leads to [target] through the proxy link [name], or [target] itself in a fleet without proxy. */
    private suspend fun edge(
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
        listing.withLock {
            listed += ListedInstance(name, record.address, record.dataCentre, "live")
            objects.set("""{"instances":${Json.encodeToString(listed)}}""")
        }
        return FleetTarget(name, process, Control(client, process.address), record.address, record).also { started += it }
    }

    private suspend fun standin(
        type: String,
        name: String,
        settings: String = "{}",
        options: List<String> = emptyList(),
    ): ChildProcess {
        val control = if (type == "proxy") emptyList() else listOf("--control", settings)
        val arguments = listOf(type, "--listen", freeAddress()) + control + options
        val process = ChildProcess(name, STANDIN_MAIN, arguments, directory)
        children += process
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
