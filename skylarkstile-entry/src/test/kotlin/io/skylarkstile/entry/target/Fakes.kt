/*
 * Fakes of the membership, the snapshots, the links and the engine. The engine counts violations such as an eviction of an adapter in use.
 */
package io.skylarkstile.entry.target

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.skylarkstile.core.cluster.ClusterView
import io.skylarkstile.core.cluster.Ownership
import io.skylarkstile.core.cluster.Resource
import io.skylarkstile.core.cluster.targetResource
import io.skylarkstile.core.dispatch.DispatchEvent
import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.core.snapshot.SnapshotSource
import io.skylarkstile.schema.generated.AdapterRecord
import io.skylarkstile.schema.generated.Dispatch
import io.skylarkstile.schema.generated.LoadAsk
import io.skylarkstile.schema.generated.Member
import io.skylarkstile.schema.generated.TargetRecord
import io.skylarkstile.schema.generated.TargetSettings
import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpBodyException
import io.skylarkstile.transport.http.HttpClient
import io.skylarkstile.transport.http.HttpFailure
import io.skylarkstile.transport.http.HttpHeaders
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.headersOf
import io.skylarkstile.transport.peer.MessageKind
import io.skylarkstile.transport.peer.PeerError
import io.skylarkstile.transport.peer.PeerNetwork
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.flow.toList
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.int
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

internal val clock: () -> Long = { System.nanoTime() / 1_000_000 }

internal class FakeCluster(
    override val self: String,
    private val instances: List<String> = listOf(self),
) : ClusterView {
    val owners = ConcurrentHashMap<String, Ownership>()
    val foreign = ConcurrentHashMap<String, Map<String, Int>>()

    @Volatile
    var leaseMs = 3_000L

    override fun members() = instances.map { Member(it, 1, "$it:1", "$it:2", "d1", Member.State.Active) }

    override fun rosterRevision() = 1L

    override fun isActive() = true

    override fun leaseRemaining(now: Long) = leaseMs

    override fun ownership(
        resource: Resource,
        now: Long,
    ) = owners[resource.key] ?: Ownership.Nobody

    override fun foreignPins(resource: Resource) = foreign[resource.key].orEmpty()
}

internal class FakeSnapshots(
    @Volatile var snapshot: Snapshot,
) : SnapshotSource {
    private val listeners = CopyOnWriteArrayList<(Snapshot) -> Unit>()

    override fun current() = snapshot

    override fun onChange(listener: (Snapshot) -> Unit) {
        listeners.add(listener)
    }

    fun set(next: Snapshot) {
        snapshot = next
        listeners.forEach { it(next) }
    }
}

/** The links of one instance; [peers] are the instances that it can reach. */
internal class FakeNetwork(
    private val self: String,
    val peers: ConcurrentHashMap<String, FakeNetwork> = ConcurrentHashMap(),
) : PeerNetwork {
    private val answers = ConcurrentHashMap<String, suspend (String, Any?) -> Any?>()
    private val receivers = ConcurrentHashMap<String, (String, Any?) -> Unit>()
    private var runner: ((String, Dispatch) -> Flow<DispatchEvent>)? = null

    /** The link of the next forwarded request breaks after this many events. */
    @Volatile
    var breakAfterEvents: Int? = null

    override fun connected() = peers.keys.toSet()

    @Suppress("UNCHECKED_CAST")
    override suspend fun <Q, A> call(
        to: String,
        kind: MessageKind<Q>,
        message: Q,
        answer: MessageKind<A>,
        timeoutMs: Long,
    ): Result<A, PeerError> =
        peers[to]?.answers?.get(kind.name)?.let { Ok(it(self, message) as A) } ?: Err(PeerError.NotSent("no link to $to"))

    override fun <T> send(
        to: String,
        kind: MessageKind<T>,
        message: T,
    ): Result<Unit, PeerError> =
        peers[to]?.receivers?.get(kind.name)?.let { Ok(it(self, message)) } ?: Err(PeerError.NotSent("no link to $to"))

    @Suppress("UNCHECKED_CAST")
    override fun <Q, A> answer(
        kind: MessageKind<Q>,
        answer: MessageKind<A>,
        handler: suspend (from: String, message: Q) -> A,
    ) {
        answers[kind.name] = { from, message -> handler(from, message as Q) }
    }

    @Suppress("UNCHECKED_CAST")
    override fun <T> receive(
        kind: MessageKind<T>,
        handler: (from: String, message: T) -> Unit,
    ) {
        receivers[kind.name] = { from, message -> handler(from, message as T) }
    }

    override fun dispatch(
        to: String,
        request: Dispatch,
    ): Flow<DispatchEvent> = flow {
        val events = peers[to]?.runner?.invoke(self, request) ?: flowOf(DispatchEvent.End(notRun("not-sent")))
        val limit = breakAfterEvents.also { breakAfterEvents = null } ?: Int.MAX_VALUE
        var count = 0
        try {
            events.collect { if (count++ < limit) emit(it) else throw HttpBodyException("link broke") }
        } catch (_: HttpBodyException) {
            emit(DispatchEvent.End(unknownEnd("link-broken")))
        }
    }

    override fun onDispatch(runner: (from: String, request: Dispatch) -> Flow<DispatchEvent>) {
        this.runner = runner
    }
}

internal object UnlimitedPermits : LoadPermits {
    override suspend fun acquireOrNull(ask: LoadAsk) = LoadPermit { }
}

/** Generates the tokens `<handle before #>/<index> `, so that a test can tell which adapter and version produced an answer. */
internal class FakeEngine(
    val slots: Int = 16,
    val fencing: Boolean = false,
    val tokens: Int = 10,
    val stepMs: Long = 2,
) {
    val loaded = ConcurrentHashMap<String, AtomicInteger>()
    val calls = CopyOnWriteArrayList<Pair<String, HttpRequest>>()
    val evictionsInUse = AtomicInteger()
    val slotOverflows = AtomicInteger()
    val staleOrders = AtomicInteger()

    @Volatile var boot = 1

    @Volatile var highestFencingNumber = 0L

    @Volatile var loadMs = 5L

    /** Numbers of tokens after which the next answers break off, one per answer. */
    val breakAfter = ConcurrentLinkedDeque<Int>()

    /** Whether answers name another request. */
    @Volatile var foreignHead = false

    /** Whether answers contain a chunk of another request. */
    @Volatile var foreignChunk = false

    /** Number of next loads that fail. */
    @Volatile var failLoads = 0

    fun loads(): List<String> = calls.filter { it.first == "/v1/load_lora_adapter" }.map { name(it.second) }

    fun restart() {
        boot++
        loaded.clear()
        highestFencingNumber = 0
    }

    private fun json(request: HttpRequest): JsonObject = parseObjectOrNull(request.body.decodeToString()) ?: JsonObject(emptyMap())

    private fun name(request: HttpRequest): String = (json(request)["lora_name"] as JsonPrimitive).content

    private fun answer(
        status: Int,
        body: String = "{}",
        headers: HttpHeaders = HttpHeaders(),
    ) = HttpAnswer(status, headers + (BOOT_HEADER to "b$boot"), flowOf(body.encodeToByteArray()))

    suspend fun handle(request: HttpRequest): HttpAnswer {
        calls.add(request.path to request)
        return when (request.path) {
            "/v1/state" -> answer(200, state())
            "/v1/fence" -> if (isStale(request)) answer(409) else answer(200)
            "/v1/load_lora_adapter" -> if (isStale(request)) answer(409) else load(name(request))
            "/v1/unload_lora_adapter" -> if (isStale(request)) answer(409) else unload(name(request))
            else -> complete(request)
        }
    }

    private fun state(): String = """{"bootId":"b$boot","ageMs":0,"loaded":[${loaded.entries.joinToString {
        """{"handle":"${it.key}","running":${it.value.get()}}"""
    }}]}"""

    private fun isStale(request: HttpRequest): Boolean {
        if (!fencing) return false
        val number = request.headers[FENCING_HEADER]?.toLong() ?: 0
        if (number < highestFencingNumber) return true.also { staleOrders.incrementAndGet() }
        highestFencingNumber = number
        return false
    }

    private suspend fun load(handle: String): HttpAnswer {
        delay(loadMs)
        if (failLoads > 0) return answer(500).also { failLoads-- }
        loaded.putIfAbsent(handle, AtomicInteger())
        if (loaded.size > slots) slotOverflows.incrementAndGet()
        return answer(200)
    }

    private fun unload(handle: String): HttpAnswer {
        val streams = loaded.remove(handle) ?: return answer(404)
        if (streams.get() > 0) evictionsInUse.incrementAndGet()
        return answer(200)
    }

    private fun complete(request: HttpRequest): HttpAnswer {
        val handle = (json(request)["model"] as JsonPrimitive).content
        val streams = loaded[handle] ?: return answer(404)
        streams.incrementAndGet()
        val id = if (foreignHead) "another" else request.headers[REQUEST_ID_HEADER].orEmpty()
        val headers =
            headersOf(
                "content-type" to "text/event-stream",
                REQUEST_ID_HEADER to id,
                ADAPTER_HEADER to handle,
                BOOT_HEADER to "b$boot",
            )
        val from = (json(request)["resume_from"] as JsonPrimitive).int
        return HttpAnswer(200, headers, stream(handle, id, from, streams))
    }

    private fun stream(
        handle: String,
        id: String,
        from: Int,
        streams: AtomicInteger,
    ): Flow<ByteArray> = flow {
        val startedAt = boot
        val breakAt = breakAfter.pollFirst()
        try {
            for (index in from until tokens) {
                if (boot != startedAt || index - from == breakAt) throw HttpBodyException("broken")
                delay(stepMs)
                if (foreignChunk && index == 2) emit(chunk("another", "foreign"))
                emit(chunk(id, "${handle.substringBefore('#')}/$index "))
            }
            val usage = """"usage":{"completion_tokens":$tokens}"""
            emit(
                "data: {\"id\":\"cmpl-$id\",\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}],$usage}\n\ndata: [DONE]\n\n"
                    .encodeToByteArray(),
            )
        } finally {
            streams.decrementAndGet()
        }
    }

    private fun chunk(
        id: String,
        text: String,
    ) = "data: {\"id\":\"cmpl-$id\",\"choices\":[{\"text\":\"$text\",\"finish_reason\":null}]}\n\n".encodeToByteArray()
}

/** Passes calls to [engines] by address. */
internal class FakeHttp(
    private val engines: Map<String, FakeEngine>,
) : HttpClient {
    /** Addresses that refuse connections. */
    val down: MutableSet<String> = ConcurrentHashMap.newKeySet()

    override suspend fun call(
        address: String,
        request: HttpRequest,
        idleTimeoutMs: Long,
        idempotent: Boolean,
        beforeSend: () -> Boolean,
    ): Result<HttpAnswer, HttpFailure> =
        if (address in down || !beforeSend()) Err(HttpFailure.NotSent("not sent")) else Ok(engines.getValue(address).handle(request))

    override fun close() = Unit
}

internal val testSettings = TargetSettings(connectTimeoutMs = 100, idleTimeoutMs = 1_000, loadTimeoutMs = 2_000, stateIntervalMs = 50)

internal fun targetRecord(
    name: String,
    engine: FakeEngine,
    maxRunning: Int = 8,
    draining: Boolean = false,
) = TargetRecord(1, TargetRecord.Type.Engine, name, "d1", engine.slots, maxRunning, engine.fencing, draining, "base")

internal fun testSnapshot(targets: Map<String, TargetRecord>) =
    Snapshot(1, adapters = ('a'..'h').associate { "$it" to AdapterRecord(1, "w", "base", "1") }, targets = targets)

internal fun testRequest(
    adapter: String,
    id: String,
    target: String = "t1",
    deadlineMs: Long = 5_000,
    workspace: String = "w",
) = Dispatch(
    id,
    target,
    workspace,
    1.0,
    adapter,
    "1",
    "/weights/$adapter",
    "/v1/completions",
    "{\"model\":\"x\"}".encodeToByteArray(),
    true,
    deadlineMs,
    0,
)

/** An owner of target `t1` and its engine. */
internal class OwnerFixture(
    scope: CoroutineScope,
    val engine: FakeEngine = FakeEngine(),
    maxRunning: Int = 8,
    val cluster: FakeCluster = FakeCluster("e1"),
    permits: LoadPermits = UnlimitedPermits,
) {
    val resource = targetResource("t1", "d1")
    val snapshots = FakeSnapshots(testSnapshot(mapOf("t1" to targetRecord("t1", engine, maxRunning))))
    val http = FakeHttp(mapOf("t1" to engine))
    val owner = targetOwner(snapshots, TargetEnv(cluster, http, permits, testSettings, 500, scope, clock))

    fun acquire(epoch: Long) {
        cluster.owners[resource.key] = Ownership.Held(epoch)
        owner.acquired(resource, epoch)
    }

    suspend fun run(
        adapter: String,
        id: String,
        deadlineMs: Long = 5_000,
    ): Answer = answerOf(owner.run(testRequest(adapter, id, deadlineMs = deadlineMs)))
}

/** Collects what a caller received. */
internal class Answer(
    val events: List<DispatchEvent>,
) {
    val end = (events.last() as DispatchEvent.End).end
    val raw = events.filterIsInstance<DispatchEvent.Chunk>().joinToString("") { it.data.decodeToString() }
    val text = Regex("\"text\":\"([^\"]*)\"").findAll(raw).joinToString("") { it.groupValues[1] }
}

internal suspend fun answerOf(events: Flow<DispatchEvent>) = Answer(events.toList())

internal fun wholeText(
    adapter: String,
    tokens: Int = 10,
) = (0 until tokens).joinToString("") { "$adapter@1/$it " }

internal suspend fun until(
    what: String,
    timeoutMs: Long = 3_000,
    condition: () -> Boolean,
) {
    val end = clock() + timeoutMs
    while (!condition()) {
        check(clock() < end) { "condition not met within $timeoutMs ms: $what" }
        delay(5)
    }
}
