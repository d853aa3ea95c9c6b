package io.skylarkstile.entry.cluster

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.longs.shouldBePositive
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.skylarkstile.core.cluster.Ownership
import io.skylarkstile.core.cluster.Resource
import io.skylarkstile.core.cluster.ResourceHolder
import io.skylarkstile.core.cluster.ledgerResource
import io.skylarkstile.core.cluster.targetResource
import io.skylarkstile.schema.generated.ClusterSettings
import io.skylarkstile.schema.generated.InstanceSettings
import io.skylarkstile.schema.recordJson
import io.skylarkstile.transport.peer.PeerNode
import io.skylarkstile.transport.peer.PeerOptions
import io.skylarkstile.transport.peer.peerNetwork
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.seconds

private val resources = List(4) { ledgerResource(it) } + List(4) { targetResource("t$it", "dc${it % 2}") }

/** Uses a fifth of the default durations, so that the tests are fast but tolerate a busy machine. */
private fun settings(seeds: String) =
    ClusterSettings("test", seeds, heartbeatMs = 100, leaseMs = 600, guardMs = 100, sendMarginMs = 100, isolationMs = 1_000)

private fun now() = System.nanoTime() / 1_000_000

/** Runs one instance that is also the holder of all resources, and reports [pins] as still in use for each released resource. */
private class Node(
    val name: String,
    val network: PeerNode,
    incarnation: Long,
    val store: MemoryStore,
    seeds: String,
) : ResourceHolder,
    ClusterListener {
    val events = CopyOnWriteArrayList<String>()
    val held = ConcurrentHashMap<Resource, Long>()
    var pins: Map<String, Int> = emptyMap()
    var snapshot = 1L
    val service =
        clusterService(
            InstanceSettings(name, "dc${name.last().code % 2}", "127.0.0.1:1", network.address, "127.0.0.1:2"),
            settings(seeds),
            incarnation,
            ClusterEnv(network, store, { snapshot }),
        )

    init {
        service.register(this)
        service.addListener(this)
        service.start()
    }

    fun lease() = service.leaseRemaining(now())

    fun kill() {
        service.close()
        network.close()
    }

    override fun resources() = resources

    override fun acquired(
        resource: Resource,
        epoch: Long,
    ) {
        held[resource] = epoch
    }

    override fun released(resource: Resource): Map<String, Int> {
        held.remove(resource)
        return pins
    }

    override fun onLeaseGained() = events.add("gained").let {}

    override fun onLeaseLapsed() = events.add("lapsed").let {}

    override fun onIsolated() = events.add("isolated").let {}

    override fun onNewerSnapshot(
        peer: String,
        revision: Long,
    ) = events.add("$peer has $revision").let {}
}

private class Fleet : AutoCloseable {
    private val store = MemoryStore()
    val nodes = ArrayList<Node>()

    /** Whether the platform is unreachable for all instances. */
    var down = false
        set(value) {
            field = value
            nodes.forEach { it.store.down = value }
        }

    suspend fun add(
        name: String,
        address: String = "127.0.0.1:0",
        seeds: String = "",
    ): Node {
        val incarnation = System.currentTimeMillis()
        val options = PeerOptions(heartbeatMs = 100, firstBackoffMs = 10, maxBackoffMs = 100)
        // The selector of a killed node releases the address shortly after close, so binding is retried.
        val network = eventually(5.seconds) { peerNetwork(name, incarnation, "test", address, options) }
        return Node(name, network, incarnation, store.view().also { it.down = down }, seeds).also { nodes += it }
    }

    suspend fun awaitSettled(vararg live: Node) = eventually(20.seconds) {
        for (n in live) {
            n.service.members().map { "${it.instance} ${it.state.value}" } shouldContainExactlyInAnyOrder
                live.map { "${it.name} active" }
            n.lease().shouldBePositive()
        }
        live.flatMap { it.held.keys } shouldContainExactlyInAnyOrder resources
    }

    override fun close() = nodes.forEach { it.kill() }
}

private suspend fun fleet(
    size: Int,
    block: suspend (Fleet, List<Node>) -> Unit,
) = Fleet().use { fleet ->
    val nodes = List(size) { fleet.add("n$it") }
    fleet.awaitSettled(*nodes.toTypedArray())
    block(fleet, nodes)
}

class ClusterServiceSpec :
    FunSpec({
        test("instances join, share ownership and dump their state") {
            fleet(3) { _, nodes ->
                val dump = nodes[0].service.dump()
                dump.active shouldBe true
                recordJson.encodeToString(ClusterDump.serializer(), dump).length shouldBeGreaterThan 100
                val owner = nodes.single { it.held.containsKey(resources[0]) }
                nodes.filter { it !== owner }.forEach { it.service.ownership(resources[0], now()) shouldBe Ownership.Elsewhere(owner.name) }
            }
        }

        test("a steady fleet makes no platform calls") {
            fleet(3) { fleet, _ ->
                delay(500)
                val before = fleet.nodes.sumOf { it.store.calls }
                delay(1_000)
                fleet.nodes.sumOf { it.store.calls } - before shouldBe 0
            }
        }

        test("a killed instance is removed and other instances take over its resources") {
            fleet(3) { fleet, nodes ->
                nodes[0].kill()
                fleet.awaitSettled(nodes[1], nodes[2])
                nodes[1].service.rosterRevision() shouldBe nodes[2].service.rosterRevision()
            }
        }

        test("an instance restarted at its address rejoins as a new incarnation") {
            fleet(3) { fleet, nodes ->
                val address = nodes[0].network.address
                nodes[0].kill()
                val restarted = fleet.add("n0", address)
                fleet.awaitSettled(restarted, nodes[1], nodes[2])
            }
        }

        test("new owners know the handles that a leaving instance still uses until they are released") {
            fleet(3) { fleet, nodes ->
                val ownedByLeaver = nodes[0].held.keys.toList()
                nodes[0].pins = mapOf("a@1#1" to 2)
                nodes[0].service.leave(1_500) shouldBe ownedByLeaver.isEmpty()
                eventually(5.seconds) { nodes.drop(1).flatMap { it.held.keys } shouldContainExactlyInAnyOrder resources }
                for (r in ownedByLeaver) {
                    nodes
                        .drop(1)
                        .single { it.held.containsKey(r) }
                        .service
                        .foreignPins(r) shouldBe mapOf("a@1#1" to 2)
                }
                nodes[0].pins = emptyMap()
                nodes[0].service.leave(5_000) shouldBe true
                for (r in ownedByLeaver) {
                    nodes
                        .drop(1)
                        .single { it.held.containsKey(r) }
                        .service
                        .foreignPins(r) shouldBe emptyMap()
                }
                nodes[0].service.endMembership(5_000) shouldBe true
                nodes[0].lease() shouldBe 0
                fleet.awaitSettled(nodes[1], nodes[2])
            }
        }

        test("an instance cut off from peers and platform loses its lease, becomes isolated and rejoins after its removal") {
            fleet(3) { fleet, nodes ->
                val incarnation =
                    nodes[0]
                        .service
                        .dump()
                        .self.incarnation
                nodes[0].network.setPeers(emptyMap())
                nodes.drop(1).forEach {
                    it.network.setPeers(
                        it.service.members().filter { m -> m.instance != "n0" }.associate { m ->
                            m.instance to
                                m.peerAddress
                        },
                    )
                }
                nodes[0].store.down = true
                eventually(5.seconds) { nodes[0].events shouldContain "lapsed" }
                nodes[0].events.contains("isolated") shouldBe false
                eventually(5.seconds) { nodes[0].events shouldContain "isolated" }
                eventually(10.seconds) { nodes[1].service.members().size shouldBe 2 }
                nodes[1].lease().shouldBePositive()
                nodes[0].store.down = false
                eventually(20.seconds) {
                    nodes[0]
                        .service
                        .dump()
                        .self.incarnation shouldNotBe incarnation
                }
                fleet.awaitSettled(*nodes.toTypedArray())
            }
        }

        test("leases survive an outage of the platform, and an instance started meanwhile learns the roster from a seed") {
            fleet(2) { fleet, nodes ->
                fleet.down = true
                val lateNode = fleet.add("n9", seeds = nodes[0].network.address)
                eventually(10.seconds) { lateNode.service.members().map { it.instance } shouldContainExactlyInAnyOrder listOf("n0", "n1") }
                delay(1_500)
                nodes.forEach { it.lease().shouldBePositive() }
                lateNode.lease() shouldBe 0
                lateNode.service.isActive() shouldBe false
                fleet.down = false
                fleet.awaitSettled(nodes[0], nodes[1], lateNode)
            }
        }

        test("an instance with an old snapshot learns which peer has a newer one") {
            fleet(2) { _, nodes ->
                nodes[0].snapshot = 7
                eventually(5.seconds) { nodes[1].events shouldContain "n0 has 7" }
                nodes[0].events.size shouldBeLessThan 100
            }
        }
    })
