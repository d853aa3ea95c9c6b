package io.skylarkstile.core.limit

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Simulates accounts without [WorkspaceQuota] under adverse timing: long idle periods in which buckets fill, loans held until they expire,
 * late settlements, and moments at which every instance spends all its tokens.
 */
private class AccountFleet(
    seed: Long,
) {
    private inner class Node(
        val name: String,
    ) {
        var account = ShareAccount(0)
        var leaseEnd = 0L
        var pausedUntil = 0L
        var leaving = false
        var knownRevision = -1

        fun advance() = account.advance(time, maxOf(0, leaseEnd - time))

        /** Applies the roster with the given [revision] unless a newer one is already known. */
        fun applyRoster(revision: Int) {
            if (revision <= knownRevision) return
            advance()
            knownRevision = revision
            account.setLimits(limits, memberCounts[revision])
        }
    }

    private val random = Random(seed)
    val limits =
        QuotaLimits(
            Amount(random.nextDouble(5.0, 50.0), random.nextDouble(100.0, 2_000.0)),
            Amount(random.nextDouble(5.0, 50.0), random.nextDouble(100.0, 2_000.0)),
        )
    private var time = 0L
    private var order = 0L
    private val events = PriorityQueue<Triple<Long, Long, () -> Unit>>(compareBy({ it.first }, { it.second }))
    private val nodes = (1..random.nextInt(2, 6)).map { Node("i$it") }
    private val live = nodes.toMutableSet()
    private val memberCounts = mutableListOf(nodes.size)
    private var ask = 0L
    val admitted = mutableListOf<AdmittedCharge>()

    private fun schedule(
        ms: Long,
        run: () -> Unit,
    ) {
        events += Triple(time + ms, order++, run)
    }

    private fun delay() = if (random.nextInt(10) == 0) random.nextLong(1, 1_500) else random.nextLong(1, 20)

    /** Delivers a message after a delay, or loses it. A paused node handles it when it resumes. */
    private fun send(
        to: Node,
        handle: () -> Unit,
    ) {
        if (random.nextInt(10) > 0) schedule(delay()) { whenAwake(to, handle) }
    }

    private fun whenAwake(
        node: Node,
        handle: () -> Unit,
    ) {
        if (node.pausedUntil > time) schedule(node.pausedUntil - time) { whenAwake(node, handle) } else handle()
    }

    fun run(untilMs: Long) {
        nodes.forEach { it.applyRoster(0) }
        nodes.forEach { renew(it) }
        schedule(1) { step() }
        schedule(random.nextLong(1_000, 9_000)) { pauseRandomNode() }
        while (events.isNotEmpty() && events.peek().first <= untilMs) events.poll().also { time = it.first }.third()
    }

    private fun renew(node: Node) {
        if (node.pausedUntil <= time && node in live && !node.leaving) {
            node.leaseEnd = time + 3_000
            node.advance()
        }
        schedule(250) { renew(node) }
    }

    private fun step() {
        val awake = nodes.filter { it.pausedUntil <= time }
        when (random.nextInt(10)) {
            in 0..2 -> awake.randomOrNull(random)?.let { borrow(it) }
            in 3..4 -> awake.randomOrNull(random)?.let { askToKeep(it) }
            in 5..7 -> awake.randomOrNull(random)?.let { spend(it, random.nextDouble()) }
            8 -> awake.forEach { spend(it, 1.0) }
            else -> awake.randomOrNull(random)?.let { it.account.returnLoans(time - random.nextLong(0, 800)) }
        }
        awake.forEach(::settle)
        schedule(if (random.nextInt(30) == 0) random.nextLong(500, 4_000) else random.nextLong(0, 80)) { step() }
    }

    private fun borrow(node: Node) {
        val lender = nodes.filter { it !== node }.random(random)
        val number = ask++
        val askedAt = time
        val account = node.account
        send(lender) {
            lender.advance()
            val given = lender.account.lend(time, node.name, number, limits.burst * random.nextDouble())
            send(node) { if (node.account === account) account.borrow(time, lender.name, number, askedAt, given) }
        }
    }

    private fun askToKeep(node: Node) {
        val lender = nodes.filter { it !== node }.random(random)
        val number = ask++
        val account = node.account
        node.advance()
        val wanted = account.freeCapacity() * random.nextDouble()
        account.reserveCapacity(time, number, wanted)
        send(lender) {
            lender.advance()
            val given = lender.account.transferOut(time, wanted)
            send(node) { if (node.account === account) account.received(number, given) }
        }
    }

    private fun settle(node: Node) = node.account.takeSettlements().forEach { done ->
        val lender = nodes.first { it.name == done.lender }
        send(lender) { lender.account.settled(time, node.name, done.ask, done.returned) }
    }

    /** Spends a [fraction] of the tokens of [node]; those that are not generated are refunded later. */
    private fun spend(
        node: Node,
        fraction: Double,
    ) {
        node.advance()
        val account = node.account
        val reserved = account.available(time).positive() * fraction
        val reservation = account.reserve(time, reserved) ?: return
        val unused = Amount(0.0, reserved.tokens * random.nextDouble())
        val charge = AdmittedCharge(time, reserved).also { admitted += it }
        schedule(random.nextLong(0, 3_000)) {
            whenAwake(node) {
                if (node.account === account) {
                    node.advance()
                    account.refund(reservation, unused)
                }
            }
        }
        charge.cost -= unused
    }

    /**
     * Pauses a node. If its lease expires, it is removed, and rejoins, possibly restarted, after all others know the new number of members.
     */
    private fun pauseRandomNode() {
        schedule(random.nextLong(2_000, 14_000)) { pauseRandomNode() }
        val node = live.random(random)
        if (live.size < 2 || nodes.any { it.leaving || it.pausedUntil > time }) return
        node.pausedUntil = time + listOf(200L, 1_500L, 2_900L, 6_000L).random(random)
        if (node.pausedUntil < node.leaseEnd) return
        node.leaving = true
        schedule(node.leaseEnd + 500 - time) {
            live -= node
            changeRoster(live.size)
        }
        schedule(maxOf(node.pausedUntil, node.leaseEnd + 500) + 200 - time) { join(node, changeRoster(live.size + 1)) }
    }

    private fun changeRoster(count: Int): Int {
        memberCounts += count
        val revision = memberCounts.lastIndex
        live.forEach { other -> schedule(random.nextLong(0, 500)) { whenAwake(other) { other.applyRoster(revision) } } }
        return revision
    }

    private fun join(
        node: Node,
        revision: Int,
    ) {
        if (live.any { it.knownRevision < revision }) {
            schedule(50) { join(node, revision) }
            return
        }
        live += node
        node.leaving = false
        if (random.nextBoolean()) node.account = ShareAccount(time).also { node.knownRevision = -1 }
        node.applyRoster(revision)
        node.account.reset(time)
        node.leaseEnd = time + 3_000
        node.advance()
    }
}

/** Guards against loans, refunds, pauses or membership changes that create tokens and so exceed the fleet-wide limits (promise 6). */
class ShareAccountPropertySpec :
    FunSpec({
        test("accounts never admit more than rate x window + burst in any window") {
            checkAll(PropTestConfig(seed = 777001, iterations = 5000), Arb.long(1, 1_000_000_000)) { seed ->
                val fleet = AccountFleet(seed)
                fleet.run(40_000)
                val excess = largestExcess(fleet.admitted, fleet.limits)
                excess.requests shouldBeLessThanOrEqual 1e-4
                excess.tokens shouldBeLessThanOrEqual 1e-3
            }
        }
    })
