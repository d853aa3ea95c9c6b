/*
 * Guards against orders of two instances to one target within the minimum time between holders, and against fencing tokens that repeat or
 * decrease, under generated sequences of joins, removals, disconnections from the store, suspensions and restarts.
 */
package io.skylarkstile.gateway.membership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.skylarkstile.gateway.forEachSeed
import java.net.InetSocketAddress
import kotlin.random.Random

private const val LEASE_MS = 3_000L
private val targets = listOf("t-1", "t-2", "t-3", "t-4")

private fun record(
    name: String,
    settled: Set<String> = emptySet(),
) = InstanceRecord(name, "dc", InetSocketAddress("127.0.0.1", 1), InetSocketAddress("127.0.0.1", 2), 1, settled)

private fun instanceSetOf(names: Collection<String>) = InstanceSet(names.associateWith { record(it) })

/** An instance with its own monotonic clock, which stops while the instance is suspended. */
private class Node(
    val name: String,
) {
    var lease = OrderLease(name, LEASE_MS)
    var seen = -1
    var settled = emptySet<String>()
    var suspendedMs = 0L
    var isSuspended = false
    var mustForget = false
    var isDisconnected = false

    fun now(time: Long) = time - suspendedMs

    /** Receives the age of the view of [peer], which has received this instance's message of [requestedAt]. */
    fun receive(
        peer: Node,
        requestedAt: Long,
        peerNow: Long,
    ) {
        val age = peer.lease.confirmationAgeOrNull(peerNow) ?: return
        lease.confirmByPeer(peer.lease.setHash, requestedAt - age, requestedAt)
    }

    /**
     * Reads all [sets] that the store has had up to the current one, as the watch of a running process does, and records the settled
     * targets. If [isHistoryGone], only the current set is read.
     */
    fun read(
        sets: List<InstanceSet>,
        isHistoryGone: Boolean,
        now: Long,
    ) {
        val revision = sets.lastIndex
        if (seen >= 0 && isHistoryGone) lease.missedChanges(now)
        val first = if (seen < 0 || isHistoryGone) revision else seen + 1
        for (next in first..revision) {
            if (next == seen) continue
            val set = sets[next]
            lease.apply(set, targets, revision.toLong(), if (seen < 0 && name in set.members) settled else emptySet(), now)
            seen = next
            if (name !in set.members) settled = emptySet()
        }
        lease.confirm(now, revision.toLong())
        lease.orderableTargetsOrNull(now)?.let { settled = it }
    }
}

private class Order(
    val time: Long,
    val node: String,
    val token: Long,
)

class OrderLeaseSpec :
    FunSpec({
        test("only one instance at a time gives orders to a target, and tokens rise with each new holder") {
            forEachSeed(400, known = listOf(-1_987_030_042)) { seed ->
                val random = Random(seed)
                val nodes = List(3) { Node("n$it") }
                val members = nodes.mapTo(LinkedHashSet()) { it.name }
                val sets = arrayListOf(instanceSetOf(members.toList()))
                val last = HashMap<String, Order>()
                for (time in 0L..40_000L step 100) {
                    if (random.nextInt(25) == 0) {
                        val node = nodes.random(random)
                        when (random.nextInt(5)) {
                            0 -> if (members.size > 1 && members.remove(node.name)) sets += instanceSetOf(members.toList())
                            1 -> if (members.add(node.name)) sets += instanceSetOf(members.toList())
                            2 -> node.isDisconnected = !node.isDisconnected
                            3 -> node.isSuspended = !node.isSuspended
                            else -> {
                                node.lease = OrderLease(node.name, LEASE_MS)
                                node.seen = -1
                            }
                        }
                    }
                    nodes.forEach { node ->
                        if (node.isSuspended) {
                            node.suspendedMs += 100
                            node.mustForget = true
                            return@forEach
                        }
                        val now = node.now(time)
                        // Suspensions are detected before the first order that follows.
                        if (node.mustForget) node.lease.invalidate(now)
                        node.mustForget = false
                        if (!node.isDisconnected && random.nextInt(5) == 0) node.read(sets, random.nextInt(8) == 0, now)
                        val peer = nodes.random(random)
                        // The message may have been delayed, and the message of this node that it refers to is older still.
                        if (peer !== node && !peer.isSuspended && !peer.mustForget && random.nextInt(3) == 0) {
                            node.receive(peer, requestedAt = now - random.nextInt(5) * 100L, peerNow = peer.now(time))
                        }
                        targets.forEach { target ->
                            val token = node.lease.tokenOrNull(target, now) ?: return@forEach
                            val before = last[target]
                            if (before != null && before.node != node.name) {
                                time - before.time shouldBeGreaterThanOrEqualTo LEASE_MS
                                token shouldBeGreaterThan before.token
                            } else if (before != null) {
                                token shouldBeGreaterThanOrEqualTo before.token
                            }
                            last[target] = Order(time, node.name, token)
                        }
                    }
                }
            }
        }

        test("a new holder waits until the confirmations of the previous one have expired, and a restarted holder continues at once") {
            val lease = OrderLease("a", LEASE_MS)
            lease.apply(instanceSetOf(listOf("a")), targets, 5, resumed = emptySet(), now = 1_000)
            lease.confirm(1_000, 9)
            lease.tokenOrNull("t-1", 1_000) shouldBe null
            lease.confirm(8_000, 9)
            lease.tokenOrNull("t-1", 8_400) shouldBe 5
            lease.tokenOrNull("t-1", 12_001) shouldBe null
            val resumed = OrderLease("a", LEASE_MS)
            resumed.apply(instanceSetOf(listOf("a")), targets, 9, resumed = targets.toSet(), now = 1_000)
            resumed.confirm(1_000, 9)
            resumed.tokenOrNull("t-1", 1_000) shouldBe 9
        }

        test("after a suspension no orders are permitted until the set is confirmed by the answer to a later request") {
            val lease = OrderLease("a", LEASE_MS)
            lease.apply(instanceSetOf(listOf("a")), targets, 5, resumed = targets.toSet(), now = 1_000)
            lease.confirm(1_000, 9)
            lease.tokenOrNull("t-1", 1_100) shouldNotBe null
            lease.invalidate(1_200)
            lease.tokenOrNull("t-1", 1_200) shouldBe null
            lease.confirm(1_210, 9, requestedAt = 1_100)
            lease.tokenOrNull("t-1", 1_210) shouldBe null
            lease.confirm(1_300, 9)
            lease.tokenOrNull("t-1", 1_300) shouldBe 5
        }

        // After each outage of the store no adapter could be loaded for another 7.3 s, although no other instance had been the holder.
        test("a holder continues at once after an outage if the watch missed nothing, and waits if changes may have been missed") {
            val lease = OrderLease("a", LEASE_MS)
            lease.apply(instanceSetOf(listOf("a")), targets, 5, resumed = targets.toSet(), now = 1_000)
            lease.confirm(1_000, 5)
            lease.tokenOrNull("t-1", 9_000) shouldBe null
            lease.confirm(9_000, 5)
            lease.tokenOrNull("t-1", 9_000) shouldBe 5
            lease.missedChanges(19_000)
            lease.confirm(19_000, 8)
            lease.tokenOrNull("t-1", 19_000) shouldBe null
            lease.confirm(26_300, 8)
            lease.tokenOrNull("t-1", 26_300) shouldBe 8
        }
    })
