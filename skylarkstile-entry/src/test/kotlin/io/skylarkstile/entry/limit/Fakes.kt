/*
 * Fakes of the cluster, the snapshots and the links between instances, shared by the tests of the limiter and of the ledger.
 */
package io.skylarkstile.entry.limit

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.skylarkstile.core.cluster.ClusterView
import io.skylarkstile.core.cluster.Ownership
import io.skylarkstile.core.cluster.Resource
import io.skylarkstile.core.dispatch.DispatchEvent
import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.core.snapshot.SnapshotSource
import io.skylarkstile.schema.generated.Dispatch
import io.skylarkstile.schema.generated.Member
import io.skylarkstile.transport.peer.MessageKind
import io.skylarkstile.transport.peer.PeerError
import io.skylarkstile.transport.peer.PeerNetwork
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import java.util.Collections
import java.util.concurrent.ConcurrentHashMap

internal fun clock() = System.nanoTime() / 1_000_000

internal class FixedCluster(
    override val self: String,
    private val names: List<String>,
) : ClusterView {
    @Volatile
    var leaseMs = 3_000L

    override fun members() = names.map { Member(it, 1, "$it:1", "$it:2", "dc", Member.State.Active) }

    override fun rosterRevision() = 1L

    override fun isActive() = true

    override fun leaseRemaining(now: Long) = leaseMs

    /** Ownership of resources by key; a test changes it to move a resource. */
    val places = ConcurrentHashMap<String, Ownership>()

    override fun ownership(
        resource: Resource,
        now: Long,
    ): Ownership = places[resource.key] ?: Ownership.Nobody

    override fun foreignPins(resource: Resource) = emptyMap<String, Int>()
}

internal class FixedSnapshots(
    private var snapshot: Snapshot,
) : SnapshotSource {
    private val listeners = mutableListOf<(Snapshot) -> Unit>()

    override fun current() = snapshot

    override fun onChange(listener: (Snapshot) -> Unit) {
        listeners += listener
    }

    fun replace(next: Snapshot) {
        snapshot = next
        listeners.forEach { it(next) }
    }
}

/** Connects the fakes of one test by name. Calls to an instance in [cut] fail. */
internal class Wires {
    val calls = ConcurrentHashMap<Pair<String, String>, suspend (String, Any?) -> Any?>()
    val oneWay = ConcurrentHashMap<Pair<String, String>, (String, Any?) -> Unit>()

    /** Instances that handle calls but whose answers are lost. */
    val mute: MutableSet<String> = ConcurrentHashMap.newKeySet()
    val cut: MutableSet<String> = ConcurrentHashMap.newKeySet()
    val askTimes: MutableMap<String, MutableList<Long>> = ConcurrentHashMap()
}

internal class FakePeers(
    private val self: String,
    private val names: List<String>,
    private val wires: Wires,
) : PeerNetwork {
    override fun connected() = names.toSet() - self - wires.cut

    @Suppress("UNCHECKED_CAST")
    override suspend fun <Q, A> call(
        to: String,
        kind: MessageKind<Q>,
        message: Q,
        answer: MessageKind<A>,
        timeoutMs: Long,
    ): Result<A, PeerError> {
        wires.askTimes.getOrPut("$self>$to") { Collections.synchronizedList(mutableListOf()) } += clock()
        delay(2)
        val handler = wires.calls[to to kind.name]
        if (to in wires.cut || handler == null) return Err(PeerError.NotSent("no link"))
        val reply = handler(self, message) as A
        return if (to in wires.mute) Err(PeerError.NoAnswer("link broke")) else Ok(reply)
    }

    override fun <T> send(
        to: String,
        kind: MessageKind<T>,
        message: T,
    ): Result<Unit, PeerError> {
        wires.oneWay[to to kind.name]?.invoke(self, message)
        return Ok(Unit)
    }

    @Suppress("UNCHECKED_CAST")
    override fun <Q, A> answer(
        kind: MessageKind<Q>,
        answer: MessageKind<A>,
        handler: suspend (from: String, message: Q) -> A,
    ) {
        wires.calls[self to kind.name] = { from, message -> handler(from, message as Q) }
    }

    @Suppress("UNCHECKED_CAST")
    override fun <T> receive(
        kind: MessageKind<T>,
        handler: (from: String, message: T) -> Unit,
    ) {
        wires.oneWay[self to kind.name] = { from, message -> handler(from, message as T) }
    }

    override fun dispatch(
        to: String,
        request: Dispatch,
    ): Flow<DispatchEvent> = error("not used")

    override fun onDispatch(runner: (from: String, request: Dispatch) -> Flow<DispatchEvent>) = error("not used")
}
