/*
 * Guards against two instances that order one target within the least time between holders, and against fencing tokens that repeat or fall,
 * under generated sequences of joins, removals, cuts from the store, suspensions and restarts.
 */
package io.skylarkstile.gateway.membership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.skylarkstile.gateway.playSeeds
import java.net.InetSocketAddress
import kotlin.random.Random

private const val LEASE_MS = 3_000L
private val targets = listOf("t-1", "t-2", "t-3", "t-4")

private fun record(
    name: String,
    settled: Set<String> = emptySet(),
) = InstanceRecord(name, "dc", InetSocketAddress("127.0.0.1", 1), InetSocketAddress("127.0.0.1", 2), 1, settled)

private fun setOf(names: Collection<String>) = InstanceSet(names.associateWith { record(it) })

/** One instance with its own steady clock, which stands still while it is suspended. */
private class Node(
    val name: String,
) {
    var lease = OrderLease(name, LEASE_MS)
    var seen = -1
    var settled = emptySet<String>()
    var suspendedMs = 0L
    var isSuspended = false
    var mustForget = false
    var isCut = false

    fun now(time: Long) = time - suspendedMs

    /** Hears of [peer], some time after both sides last heard each other, how old its view is. */
    fun hear(
        peer: Node,
        askedAt: Long,
        peerNow: Long,
    ) {
        val age = peer.lease.ageOrNull(peerNow) ?: return
        lease.vouch(peer.lease.setHash, askedAt - age, askedAt)
    }

    /**
     * Reads the sets that the store has had, the last one being the present one, as the watch of a running process does, and records a
     * settled one. Where the [isHistoryGone], only the present one is seen.
     */
    fun look(
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
        lease.settledOrNull(now)?.let { settled = it }
    }
}

private class Order(
    val time: Long,
    val node: String,
    val token: Long,
)

class OrderLeaseSpec :
    FunSpec({
        test("one holder at a time, and tokens rise, whatever happens to the instances") {
            playSeeds(400, known = listOf(-1_987_030_042)) { seed ->
                val random = Random(seed)
                val nodes = List(3) { Node("n$it") }
                val members = nodes.mapTo(LinkedHashSet()) { it.name }
                val sets = arrayListOf(setOf(members.toList()))
                val last = HashMap<String, Order>()
                for (time in 0L..40_000L step 100) {
                    if (random.nextInt(25) == 0) {
                        val node = nodes.random(random)
                        when (random.nextInt(5)) {
                            0 -> if (members.size > 1 && members.remove(node.name)) sets += setOf(members.toList())
                            1 -> if (members.add(node.name)) sets += setOf(members.toList())
                            2 -> node.isCut = !node.isCut
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
                        // The detector of suspensions runs before the first order after one.
                        if (node.mustForget) node.lease.forget(now)
                        node.mustForget = false
                        if (!node.isCut && random.nextInt(5) == 0) node.look(sets, random.nextInt(8) == 0, now)
                        val peer = nodes.random(random)
                        // Its message may have been on the way for long; what it heard of this node is older still.
                        if (peer !== node && !peer.isSuspended && !peer.mustForget && random.nextInt(3) == 0) {
                            node.hear(peer, askedAt = now - random.nextInt(5) * 100L, peerNow = peer.now(time))
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

        test("a new holder waits for the confirmations of the old one to run out, and a restarted one resumes at once") {
            val lease = OrderLease("a", LEASE_MS)
            lease.apply(setOf(listOf("a")), targets, 5, resumed = emptySet(), now = 1_000)
            lease.confirm(1_000, 9)
            lease.tokenOrNull("t-1", 1_000) shouldBe null
            lease.confirm(8_000, 9)
            lease.tokenOrNull("t-1", 8_400) shouldBe 5
            lease.tokenOrNull("t-1", 12_001) shouldBe null
            val resumed = OrderLease("a", LEASE_MS)
            resumed.apply(setOf(listOf("a")), targets, 9, resumed = targets.toSet(), now = 1_000)
            resumed.confirm(1_000, 9)
            resumed.tokenOrNull("t-1", 1_000) shouldBe 9
        }

        test("a suspension ends the right to give orders until the set is confirmed again by an answer to a later question") {
            val lease = OrderLease("a", LEASE_MS)
            lease.apply(setOf(listOf("a")), targets, 5, resumed = targets.toSet(), now = 1_000)
            lease.confirm(1_000, 9)
            lease.tokenOrNull("t-1", 1_100) shouldNotBe null
            lease.forget(1_200)
            lease.tokenOrNull("t-1", 1_200) shouldBe null
            lease.confirm(1_210, 9, askedAt = 1_100)
            lease.tokenOrNull("t-1", 1_210) shouldBe null
            lease.confirm(1_300, 9)
            lease.tokenOrNull("t-1", 1_300) shouldBe 5
        }

        // After each outage of the store no adapter could be loaded for 7.3 s more, though nobody else had held the targets.
        test("a holder goes on at once after an outage in which the watch missed nothing, and waits when something may be missed") {
            val lease = OrderLease("a", LEASE_MS)
            lease.apply(setOf(listOf("a")), targets, 5, resumed = targets.toSet(), now = 1_000)
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
