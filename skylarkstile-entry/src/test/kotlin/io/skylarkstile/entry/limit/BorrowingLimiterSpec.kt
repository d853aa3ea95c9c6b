package io.skylarkstile.entry.limit

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeSorted
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.skylarkstile.core.cluster.ClusterView
import io.skylarkstile.core.cluster.Ownership
import io.skylarkstile.core.cluster.Resource
import io.skylarkstile.core.dispatch.DispatchEvent
import io.skylarkstile.core.limit.Admission
import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.core.snapshot.SnapshotSource
import io.skylarkstile.schema.generated.Dispatch
import io.skylarkstile.schema.generated.Member
import io.skylarkstile.schema.generated.QuotaSettings
import io.skylarkstile.schema.generated.WorkspaceRecord
import io.skylarkstile.transport.peer.MessageKind
import io.skylarkstile.transport.peer.PeerError
import io.skylarkstile.transport.peer.PeerNetwork
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import java.util.Collections
import java.util.concurrent.ConcurrentHashMap

private fun clock() = System.nanoTime() / 1_000_000

private class FixedCluster(
    override val self: String,
    private val names: List<String>,
) : ClusterView {
    @Volatile
    var leaseMs = 3_000L

    override fun members() = names.map { Member(it, 1, "$it:1", "$it:2", "dc", Member.State.Active) }

    override fun rosterRevision() = 1L

    override fun isActive() = true

    override fun leaseRemaining(now: Long) = leaseMs

    override fun ownership(
        resource: Resource,
        now: Long,
    ): Ownership = Ownership.Nobody

    override fun foreignPins(resource: Resource) = emptyMap<String, Int>()
}

private class FixedSnapshots(
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

/** Connects the fakes of one test by name; an instance in [cut] gets no message. */
private class Wires {
    val calls = ConcurrentHashMap<Pair<String, String>, suspend (String, Any?) -> Any?>()
    val oneWay = ConcurrentHashMap<Pair<String, String>, (String, Any?) -> Unit>()
    val cut: MutableSet<String> = ConcurrentHashMap.newKeySet()
    val askTimes: MutableMap<String, MutableList<Long>> = ConcurrentHashMap()
}

private class FakePeers(
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
        return Ok(handler(self, message) as A)
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

private fun record(
    rate: Double,
    burst: Double,
) = WorkspaceRecord(2, rate, burst, rate * 100, burst * 100, 1.0)

/** Runs [size] limiters in one process. Their buckets are full after [fillMs]. */
private class LimiterFleet(
    size: Int,
    record: WorkspaceRecord,
) {
    val wires = Wires()
    private val names = (1..size).map { "i$it" }
    private val scope = CoroutineScope(Dispatchers.Default + Job())
    val clusters = names.map { FixedCluster(it, names) }
    val snapshots = FixedSnapshots(Snapshot(1, workspaces = mapOf("w" to record)))
    val limiters =
        clusters.map { borrowingLimiter(QuotaSettings(), it, snapshots, FakePeers(it.self, names, wires), scope, ::clock) }

    suspend fun <T> use(
        fillMs: Long,
        action: suspend LimiterFleet.() -> T,
    ): T = try {
        delay(fillMs)
        action()
    } finally {
        scope.cancel()
    }
}

class BorrowingLimiterSpec :
    FunSpec({
        test("one instance admits the burst of all instances, and no more") {
            LimiterFleet(3, record(0.5, 30.0).copy(requestsPerSecond = 60.0, tokensPerSecond = 6_000.0)).use(1_800) {
                val start = clock()
                val answers = coroutineScope { (1..60).map { async { limiters[0].admit("w", 100) } }.awaitAll() }
                val admitted = answers.count { it is Admission.Admitted }
                admitted shouldBeGreaterThanOrEqualTo 27
                admitted.toDouble() shouldBeLessThan 30.0 + 60.0 * (clock() - start + 1) / 1_000.0 + 1
                answers.filterIsInstance<Admission.Refused>().forEach { it.retryAfterMs shouldBeGreaterThan 0 }
                limiters[0]
                    .counts()
                    .getValue("w")
                    .refused.values
                    .sum() shouldBe answers.count { it is Admission.Refused }.toLong()
            }
        }

        test("asks to one peer stay at or below 20 in a second under overload") {
            LimiterFleet(2, record(40.0, 10.0)).use(1_300) {
                val end = clock() + 2_000
                coroutineScope {
                    (1..20).map { async(Dispatchers.Default) { while (clock() < end) limiters[0].admit("w", 1) } }.awaitAll()
                }
                val times =
                    wires.askTimes
                        .getValue("i1>i2")
                        .toList()
                        .sorted()
                // Sending happens up to some ms after the decision, so the window is taken a little shorter than a second.
                times.maxOf { from -> times.count { it in from until from + 900 } } shouldBeLessThan 21
            }
        }

        test("a cancelled charge and unused tokens can be spent again") {
            LimiterFleet(1, record(1.0, 2.0)).use(3_300) {
                val first = limiters[0].admit("w", 150).shouldBeInstanceOf<Admission.Admitted>()
                limiters[0].admit("w", 150).shouldBeInstanceOf<Admission.Refused>().reason shouldBe "token-rate"
                first.settle(10)
                first.cancel()
                val second = limiters[0].admit("w", 150).shouldBeInstanceOf<Admission.Admitted>()
                second.cancel()
                limiters[0].admit("w", 150).shouldBeInstanceOf<Admission.Admitted>()
            }
        }

        test("refusals name their reason") {
            LimiterFleet(1, record(1.0, 2.0)).use(1_200) {
                limiters[0].admit("other", 1).shouldBeInstanceOf<Admission.Refused>().reason shouldBe "unknown-workspace"
                limiters[0].admit("w", 201).shouldBeInstanceOf<Admission.Refused>().reason shouldBe "too-large"
                clusters[0].leaseMs = 0
                limiters[0].admit("w", 1).shouldBeInstanceOf<Admission.Refused>().reason shouldBe "no-lease"
            }
        }

        test("requests that wait are served in the order of their arrival") {
            LimiterFleet(1, record(200.0, 1.0)).use(1_200) {
                val served = Collections.synchronizedList(mutableListOf<Int>())
                coroutineScope {
                    repeat(6) { number ->
                        async { if (limiters[0].admit("w", 1) is Admission.Admitted) served += number }
                        delay(1)
                    }
                }
                served.shouldBeSorted()
                served.size shouldBeGreaterThan 3
            }
        }

        test("a smaller burst of a new snapshot applies at once") {
            LimiterFleet(1, record(10.0, 10.0)).use(2_500) {
                snapshots.replace(Snapshot(2, workspaces = mapOf("w" to record(0.1, 2.0))))
                val answers = (1..5).map { limiters[0].admit("w", 1) }
                answers.count { it is Admission.Admitted } shouldBe 2
                limiters[0].dump().single().requestCapacity shouldBe 2.0
            }
        }
    })
