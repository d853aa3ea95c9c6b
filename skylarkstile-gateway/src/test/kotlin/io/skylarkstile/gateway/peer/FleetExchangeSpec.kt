/*
 * Simulates fleets of instances that exchange their calls over links that lose and delay messages. Guards against sums that stay wrong,
 * messages that grow with the number of instances, and live instances that are taken for lost.
 */
package io.skylarkstile.gateway.peer

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.skylarkstile.core.placement.Popularity
import io.skylarkstile.gateway.ManualScheduler
import io.skylarkstile.gateway.adapter.AdapterManager
import io.skylarkstile.gateway.adapter.NoAdapterFleet
import io.skylarkstile.gateway.adapter.NoTargetClient
import io.skylarkstile.gateway.admission.QuotaTolerance
import io.skylarkstile.gateway.admission.WorkspaceShares
import io.skylarkstile.gateway.entry
import io.skylarkstile.gateway.membership.FleetGroups
import io.skylarkstile.gateway.membership.InstanceRecord
import io.skylarkstile.gateway.membership.InstanceSet
import io.skylarkstile.gateway.membership.OrderLease
import io.skylarkstile.gateway.model.AdapterName
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.store.ChangesSource
import io.skylarkstile.gateway.store.SimulatedStore
import io.skylarkstile.gateway.store.StoreKind
import io.skylarkstile.gateway.store.StoreListener
import io.skylarkstile.gateway.store.StorePage
import io.skylarkstile.gateway.store.StoreWatch
import io.skylarkstile.gateway.target.CallWeight
import io.skylarkstile.gateway.target.TargetState
import io.skylarkstile.gateway.target.TargetTable
import io.skylarkstile.schema.generated.GatewayDatagram
import java.net.InetSocketAddress
import kotlin.random.Random

private const val TARGETS = 20
private const val LOSS = 0.02
private const val MAX_DELAY_MS = 4L

/** A link drops datagrams that would be queued for longer than this, in milliseconds. */
private const val LINK_QUEUE_MS = 50L
private const val BYTES_PER_MS_PER_MBPS = 125L
private const val FAST_MBPS = 200
private const val ADAPTERS_ON_TARGET = 11

private fun adapter(number: Int) = AdapterVersion(AdapterName("model-510000", "adapter-$number"), 1)

/** Wait of an aggregator's watch, and maximum age of a peer's view, in milliseconds, as for a drain bound of 3 s. */
private const val AGGREGATOR_WAIT_MS = 450L
private const val MAX_PEER_VIEW_AGE_MS = 2_250L

/** Simulates [size] instances in [dataCentres] data centres; the first [fast] have links of 200 Mbit/s, the others of [linkMbps]. */
private class Fleet(
    size: Int,
    dataCentres: Int,
    seed: Int,
    private val linkMbps: Int = 0,
    private val fast: Int = 0,
    private val targetCount: Int = TARGETS,
) {
    val scheduler = ManualScheduler()
    val random = Random(seed)
    val set =
        InstanceSet(
            List(size) {
                val link = if (it < fast) FAST_MBPS else linkMbps
                InstanceRecord("i-$it", "dc-${it % dataCentres}", address(it, 1), address(it, 2), 1, emptySet(), link)
            }.associateBy { it.name },
        )
    val store = SimulatedStore(scheduler)
    val members = set.members.values.map(::Member)
    private val byAddress = members.associateBy { it.record.peers }
    var datagrams = 0
    var bytes = 0L

    private fun address(
        index: Int,
        port: Int,
    ) = InetSocketAddress("10.0.${index / 200}.${1 + index % 200}", port)

    inner class Member(
        val record: InstanceRecord,
    ) : PeerHost,
        StoreListener {
        /** Names of the store's objects that this instance has read, and the time at which its view was last confirmed to be current. */
        val seen = HashSet<String>()
        var confirmedAt = 0L
            private set
        val targets = TargetTable().apply { repeat(targetCount) { put(entry("t-$it")) } }
        var isStopped = false

        /** Time at which the link will have sent all queued datagrams, in microseconds. */
        private var linkFreeAt = 0L
        private val codec = DatagramCodec()
        private val pacedSends = PacedSends(record.linkMbps, scheduler, ::write)
        var reachesStore = true

        /** Number of times that the instances had to be listed again because a peer has a different set. */
        var relists = 0
            private set
        private val views = PeerViews()
        val lease = OrderLease(record.name, 3_000)
        private val popularity = Popularity()
        val exchange =
            PeerExchange(
                record,
                scheduler,
                targets,
                WorkspaceShares(QuotaTolerance(0.1, 0.0, 8_000)),
                popularity,
                lease,
                views,
                this,
                ::send,
            )
        override val isLeaving = false
        override val isReady = true

        init {
            exchange.adapterManager = AdapterManager(record.name, lease, targets, NoTargetClient, NoAdapterFleet, popularity, scheduler) {}
            exchange.apply(set)
            lease.apply(set, emptyList(), 1, emptySet(), 0)
            val timing = FleetWatchTiming(exchange, 0, AGGREGATOR_WAIT_MS, MAX_PEER_VIEW_AGE_MS)
            val watch = StoreWatch(StoreKind.Instances, store.client { reachesStore && !isStopped }, scheduler, this, timing)
            views.add(StoreKind.Instances, watch)
            watch.start()
            scheduler.after(random.nextLong(50), ::tick)
        }

        override fun checkSuspension() = Unit

        override fun adaptersChanged(target: TargetState) = Unit

        override fun changesSourceOf(peer: InstanceRecord): ChangesSource = { kind, after, done ->
            val sender = byAddress.getValue(peer.peers)
            val changes = if (sender.isStopped) null else sender.views.watchOrNull(kind)?.changesAfterOrNull(after)
            scheduler.after(MAX_DELAY_MS) { done(changes) }
        }

        override fun relistSet() {
            relists++
        }

        override fun onListed(
            page: StorePage,
            now: Long,
            reappearUntil: Long?,
        ) {
            page.objects.forEach { seen.add(it.name) }
        }

        override fun onChanged(
            page: StorePage,
            now: Long,
            reappearUntil: Long?,
        ) {
            page.objects.forEach { seen.add(it.name) }
        }

        override fun onConfirmed(
            at: Long,
            requestedAt: Long,
            revision: Long,
        ) {
            confirmedAt = maxOf(confirmedAt, at)
        }

        private fun tick() {
            if (!isStopped) exchange.tick()
            if (!isStopped) views.tick()
            scheduler.after(50, ::tick)
        }

        private fun send(
            datagram: GatewayDatagram,
            receivers: Collection<InetSocketAddress>,
        ) {
            val bytes = codec.encode(datagram)
            val kind = reportKindOrNull(datagram)
            if (kind == null) receivers.forEach { write(bytes, it) } else pacedSends.send(kind, bytes, receivers)
        }

        private fun write(
            encoded: ByteArray,
            address: InetSocketAddress,
        ) {
            datagrams++
            bytes += encoded.size
            val waitMs = linkWaitMsOrNull(encoded.size)
            if (waitMs != null && random.nextDouble() >= LOSS) {
                scheduler.after(waitMs + random.nextLong(1, MAX_DELAY_MS)) { deliver(address, codec.decode(encoded)) }
            }
        }

        /** Returns how long a datagram of [size] bytes takes on the link, including queueing, or null when the link drops it. */
        private fun linkWaitMsOrNull(size: Int): Long? {
            if (record.linkMbps == 0) return 0
            val now = scheduler.now() * 1_000
            val freeAt = maxOf(linkFreeAt, now)
            if (freeAt - now > LINK_QUEUE_MS * 1_000) return null
            linkFreeAt = freeAt + size * 1_000L / (BYTES_PER_MS_PER_MBPS * record.linkMbps)
            return (linkFreeAt - now) / 1_000
        }

        private fun deliver(
            address: InetSocketAddress,
            datagram: GatewayDatagram,
        ) {
            val receiver = byAddress.getValue(address)
            if (!receiver.isStopped) receiver.exchange.receive(datagram)
        }
    }

    val live: List<Member> get() = members.filter { !it.isStopped }

    /** Starts and ends calls on random instances and targets. */
    fun changeCalls() = live.forEach { member ->
        member.targets.all.forEach { target ->
            val running = target.ownWeight.calls
            if (running > 0 && random.nextInt(4) == 0) target.removeCall(CallWeight(1, 100, 0), target.adapterCalls.keys.first())
            if (random.nextInt(12) == 0) target.addCall(CallWeight(1, 100, 0), adapter(random.nextInt(ADAPTERS_ON_TARGET)))
        }
    }

    /** Returns the differences between the instances' view of the other instances' calls and the real ones. */
    fun wrongCounts(): List<String> {
        val sums = (0 until targetCount).associate { id -> "t-$id" to live.sumOf { checkNotNull(it.targets["t-$id"]).ownWeight.calls } }
        return live.flatMap { member ->
            member.targets.all.mapNotNull { target ->
                val expected = checkNotNull(sums[target.id]) - target.ownWeight.calls
                "${member.record.name} counts ${target.otherInstancesWeight.calls} of $expected calls on ${target.id}".takeIf {
                    target.otherInstancesWeight.calls !=
                        expected
                }
            }
        }
    }
}

class FleetExchangeSpec :
    FunSpec({
        test("each instance knows the calls of all others soon after the last change, in small and in large fleets") {
            listOf(6 to 3, 40 to 3, 95 to 5).forEach { (size, dataCentres) ->
                val fleet = Fleet(size, dataCentres, seed = size)
                fleet.scheduler.advance(2_000)
                repeat(10) {
                    fleet.changeCalls()
                    fleet.scheduler.advance(100)
                }
                fleet.scheduler.advance(3_000)
                withClue("$size instances") { fleet.wrongCounts().shouldBeEmpty() }
            }
        }

        test("what an instance sends doesn't grow with the number of instances") {
            val each =
                listOf(95 to 5, 300 to 5).map { (size, dataCentres) ->
                    val fleet = Fleet(size, dataCentres, seed = size)
                    fleet.scheduler.advance(1_000)
                    fleet.datagrams = 0
                    fleet.bytes = 0
                    fleet.scheduler.advance(2_000)
                    fleet.datagrams / 2.0 / size to fleet.bytes / 2.0 / size
                }
            // Each instance sends two states every 0.35 s and gets one report; in addition, aggregators send reports to each other.
            each.forEach { (datagrams, bytes) ->
                datagrams shouldBeLessThan 16.0
                bytes shouldBeLessThan 16_000.0
            }
        }

        test("when aggregators and their successors stop, the others know the calls again and no live instance is removed") {
            val fleet = Fleet(60, 3, seed = 4)
            fleet.scheduler.advance(2_000)
            fleet.changeCalls()
            val groups =
                FleetGroups(fleet.set, "i-0")
            val stopped = groups.members.values.flatMap { members -> members.take(2).map { it.name } }
            fleet.members.filter { it.record.name in stopped }.forEach { it.isStopped = true }
            fleet.scheduler.advance(9_000)
            fleet.wrongCounts().shouldBeEmpty()
            val now = fleet.scheduler.now()
            val aggregators = fleet.live.filter { it.exchange.isAggregator }
            aggregators.size shouldBe groups.members.size
            aggregators.forEach { aggregator ->
                val present = fleet.live.map { it.record.name } - aggregator.record.name
                val silent =
                    fleet.set.members.keys.filter { name ->
                        name != aggregator.record.name &&
                            aggregator.exchange.removalRankOrNull(name, present) != null &&
                            now - (aggregator.exchange.lastHeardAtOrNull(name) ?: 0) > 3_500
                    }
                (silent - stopped.toSet()).shouldBeEmpty()
                withClue("the stopped members of its group are found") { silent.size shouldBe 2 }
            }
        }

        // Guards against store calls that grow with the number of groups: with 300 instances, about 26 of them used to watch each kind.
        test("two instances read the store for a fleet of any size, and all others hear of changes within two seconds") {
            listOf(95 to 5, 300 to 5).forEach { (size, dataCentres) ->
                withClue("$size instances") {
                    val fleet = Fleet(size, dataCentres, seed = size)
                    fleet.scheduler.advance(8_000)
                    val before = fleet.store.calls
                    var maxAgeMs = 0L
                    repeat(100) {
                        fleet.scheduler.advance(100)
                        maxAgeMs = maxOf(maxAgeMs, fleet.members.maxOf { fleet.scheduler.now() - it.confirmedAt })
                    }
                    // Two instances with watches of 0.45 s make 45 calls in 10 s, and a few more when several reports in a row are lost.
                    (fleet.store.calls - before).toDouble() shouldBeLessThan 70.0
                    (maxAgeMs <= MAX_PEER_VIEW_AGE_MS + 300) shouldBe true
                    fleet.store.change("new")
                    fleet.scheduler.advance(2_000)
                    fleet.members
                        .filter { "new" !in it.seen }
                        .map { it.record.name }
                        .shouldBeEmpty()
                }
            }
        }

        test("when the readers stop, or lose the store, the others hear of changes soon and know how old their views are") {
            listOf<(Fleet.Member) -> Unit>({ it.isStopped = true }, { it.reachesStore = false }).forEach { injectFault ->
                val fleet = Fleet(95, 5, seed = 7)
                fleet.scheduler.advance(8_000)
                val readers = fleet.members.filter { it.exchange.readsStore }
                readers.size shouldBe 2
                readers.forEach(injectFault)
                fleet.scheduler.advance(1_000)
                fleet.store.change("new")
                val at = fleet.scheduler.now()
                fleet.scheduler.advance(2_500)
                val connected = fleet.live.filter { it.reachesStore }
                // An instance that missed the change must not claim a view confirmed after it.
                connected.filter { "new" !in it.seen && it.confirmedAt > at }.map { it.record.name }.shouldBeEmpty()
                fleet.scheduler.advance(2_500)
                fleet.live
                    .filter { "new" !in it.seen }
                    .map { it.record.name }
                    .shouldBeEmpty()
            }
        }

        // Guards against two instances that have different sets at the same revision and both give orders to a target.
        test("an instance whose set differs from that of the others at the same revision lists it again, and no other instance does") {
            val fleet = Fleet(60, 3, seed = 8)
            fleet.scheduler.advance(4_000)
            fleet.members.sumOf { it.relists } shouldBe 0
            val diverging = fleet.members.first { !it.exchange.isAggregator }
            diverging.lease.apply(InstanceSet(fleet.set.members - "i-3"), emptyList(), 1, emptySet(), fleet.scheduler.now())
            fleet.scheduler.advance(1_500)
            (diverging.relists > 0) shouldBe true
            fleet.members.filter { it !== diverging }.sumOf { it.relists } shouldBe 0
        }

        // Guards against bursts that exceed a link: their last receivers got nothing, became aggregators, and were removed while alive.
        test("aggregators with slow links reach their whole groups, and no second aggregators take over") {
            listOf(6, 0).forEach { fast ->
                val fleet = Fleet(74, 3, seed = 6, linkMbps = 10, fast = fast, targetCount = 63)
                fleet.scheduler.advance(2_000)
                val extraAggregators = HashSet<String>()
                val groups = FleetGroups(fleet.set, "i-0").members.size
                repeat(150) {
                    fleet.changeCalls()
                    fleet.scheduler.advance(100)
                    val aggregators = fleet.members.filter { it.exchange.isAggregator }.map { it.record.name }
                    if (aggregators.size > groups) extraAggregators.addAll(aggregators)
                }
                fleet.scheduler.advance(3_000)
                withClue("$fast fast links") {
                    extraAggregators.shouldBeEmpty()
                    fleet.wrongCounts().shouldBeEmpty()
                }
            }
        }

        // After a suspension, a timer may fire before the messages that arrived meanwhile are read.
        test("an aggregator that was frozen doesn't take its members for lost because it couldn't hear them") {
            val fleet = Fleet(60, 3, seed = 5)
            fleet.scheduler.advance(5_000)
            val frozen = fleet.members.first { it.exchange.isAggregator }
            frozen.isStopped = true
            fleet.scheduler.advance(6_000)
            frozen.isStopped = false
            frozen.exchange.tick()
            val now = fleet.scheduler.now()
            val silent =
                fleet.set.members.keys.filter { name ->
                    name != frozen.record.name &&
                        frozen.exchange.removalRankOrNull(name, emptyList()) != null &&
                        now - (frozen.exchange.lastHeardAtOrNull(name) ?: 0) > 3_500
                }
            silent.shouldBeEmpty()
        }
    })
