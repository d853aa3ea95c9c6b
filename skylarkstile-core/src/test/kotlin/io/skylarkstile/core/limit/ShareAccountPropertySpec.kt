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
 * Drives bare accounts with hostile timing: long idle times in which buckets fill, loans held to the last moment, late settlements, and
 * moments in which every instance spends all it has.
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
        var known = -1

        fun advance() = account.advance(time, maxOf(0, leaseEnd - time))

        /** Applies a roster, given as its revision; an older one than the known is ignored. */
        fun learn(revision: Int) {
            if (revision <= known) return
            advance()
            known = revision
            account.limit(limits, memberCounts[revision])
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

    private fun later(
        ms: Long,
        run: () -> Unit,
    ) {
        events += Triple(time + ms, order++, run)
    }

    private fun delay() = if (random.nextInt(10) == 0) random.nextLong(1, 1_500) else random.nextLong(1, 20)

    /** Delivers to a node after a delay, or loses the message; a paused node handles it when it resumes. */
    private fun send(
        to: Node,
        handle: () -> Unit,
    ) {
        if (random.nextInt(10) > 0) later(delay()) { whenAwake(to, handle) }
    }

    private fun whenAwake(
        node: Node,
        handle: () -> Unit,
    ) {
        if (node.pausedUntil > time) later(node.pausedUntil - time) { whenAwake(node, handle) } else handle()
    }

    fun run(untilMs: Long) {
        nodes.forEach { it.learn(0) }
        nodes.forEach { renew(it) }
        later(1) { step() }
        later(random.nextLong(1_000, 9_000)) { fail() }
        while (events.isNotEmpty() && events.peek().first <= untilMs) events.poll().also { time = it.first }.third()
    }

    private fun renew(node: Node) {
        if (node.pausedUntil <= time && node in live && !node.leaving) {
            node.leaseEnd = time + 3_000
            node.advance()
        }
        later(250) { renew(node) }
    }

    private fun step() {
        val awake = nodes.filter { it.pausedUntil <= time }
        when (random.nextInt(10)) {
            in 0..2 -> awake.randomOrNull(random)?.let { borrow(it) }
            in 3..4 -> awake.randomOrNull(random)?.let { askToKeep(it) }
            in 5..7 -> awake.randomOrNull(random)?.let { spend(it, random.nextDouble()) }
            8 -> awake.forEach { spend(it, 1.0) }
            else -> awake.randomOrNull(random)?.let { it.account.giveBack(time - random.nextLong(0, 800)) }
        }
        awake.forEach(::settle)
        later(if (random.nextInt(30) == 0) random.nextLong(500, 4_000) else random.nextLong(0, 80)) { step() }
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
        val wanted = account.room() * random.nextDouble()
        account.expect(time, number, wanted)
        send(lender) {
            lender.advance()
            val given = lender.account.give(time, wanted)
            send(node) { if (node.account === account) account.received(number, given) }
        }
    }

    private fun settle(node: Node) = node.account.takeSettlements().forEach { done ->
        val lender = nodes.first { it.name == done.lender }
        send(lender) { lender.account.settled(time, node.name, done.ask, done.returned) }
    }

    /** Spends [part] of what [node] has; some of the tokens are not generated and come back later. */
    private fun spend(
        node: Node,
        part: Double,
    ) {
        node.advance()
        val account = node.account
        val reserved = account.available(time).positive() * part
        val reservation = account.reserve(time, reserved) ?: return
        val unused = Amount(0.0, reserved.tokens * random.nextDouble())
        val charge = AdmittedCharge(time, reserved).also { admitted += it }
        later(random.nextLong(0, 3_000)) {
            whenAwake(node) {
                if (node.account === account) {
                    node.advance()
                    account.refund(reservation, unused)
                }
            }
        }
        charge.cost -= unused
    }

    /** Pauses or crashes a node; beyond its lease it is removed and admitted again after all others know the new count. */
    private fun fail() {
        later(random.nextLong(2_000, 14_000)) { fail() }
        val node = live.random(random)
        if (live.size < 2 || nodes.any { it.leaving || it.pausedUntil > time }) return
        node.pausedUntil = time + listOf(200L, 1_500L, 2_900L, 6_000L).random(random)
        if (node.pausedUntil < node.leaseEnd) return
        node.leaving = true
        later(node.leaseEnd + 500 - time) {
            live -= node
            changeRoster(live.size)
        }
        later(maxOf(node.pausedUntil, node.leaseEnd + 500) + 200 - time) { join(node, changeRoster(live.size + 1)) }
    }

    private fun changeRoster(count: Int): Int {
        memberCounts += count
        val revision = memberCounts.lastIndex
        live.forEach { other -> later(random.nextLong(0, 500)) { whenAwake(other) { other.learn(revision) } } }
        return revision
    }

    private fun join(
        node: Node,
        revision: Int,
    ) {
        if (live.any { it.known < revision }) {
            later(50) { join(node, revision) }
            return
        }
        live += node
        node.leaving = false
        if (random.nextBoolean()) node.account = ShareAccount(time).also { node.known = -1 }
        node.learn(revision)
        node.account.reset(time)
        node.leaseEnd = time + 3_000
        node.advance()
    }
}

/** Guards against tokens that are created by loans, refunds, pauses or membership changes (promise 6). */
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
