/*
 * Guards against a fleet that sends cold targets more calls than they bear, or leaves much of what they accept unused, while news of the cold
 * period is late, the granting instance is lost or frozen, or instances can't reach it and use their shares.
 */
package io.skylarkstile.gateway.peer

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.skylarkstile.gateway.ManualScheduler
import io.skylarkstile.gateway.entry
import io.skylarkstile.gateway.forEachSeed
import io.skylarkstile.gateway.membership.InstanceRecord
import io.skylarkstile.gateway.membership.InstanceSet
import io.skylarkstile.gateway.model.ColdStart
import io.skylarkstile.gateway.model.Service
import io.skylarkstile.gateway.target.TargetState
import io.skylarkstile.gateway.target.TargetTable
import io.skylarkstile.schema.generated.GatewayDatagram
import java.net.InetSocketAddress
import kotlin.random.Random

private const val TARGET = "t-1"
private const val CALLS_PER_SECOND = 18.0
private const val COLD_MS = 8_000L
private const val WINDOW_MS = 1_000
private const val MAX_WAIT_MS = 400L
private const val LOSS = 0.02

/** What a cold target bears in any second. */
private const val TOLERATED = CALLS_PER_SECOND * 1.5 + 5

/** Simulates [size] instances that send [demand] calls a second together to one cold target, as far as they may. */
private class ColdFleet(
    seed: Int,
    size: Int,
    private val demand: Double,
) {
    private val random = Random(seed)
    private val scheduler = ManualScheduler()
    private val records =
        List(size) {
            val address = InetSocketAddress("10.0.${it / 200}.${it % 200 + 1}", 7_600)
            InstanceRecord("i-$it", "dc-${it % 3}", address, address, 1, emptySet())
        }
    private val set = InstanceSet(records.associateBy { it.name })
    private val members = records.map(::Member)
    private val byAddress = members.associateBy { it.record.peers }
    private val arrivals = ArrayList<Long>()
    val granting: Member get() = members.first { it.record.name == set.orderHolderOrNull(TARGET) }

    inner class Member(
        val record: InstanceRecord,
    ) {
        private val table = TargetTable().apply { put(entry(TARGET)) }
        private val target: TargetState get() = checkNotNull(table[TARGET])
        private val permits = FleetCallPermits(record, scheduler, table, ::send).apply { apply(set) }
        var isSilent = false

        /** Learns that the target is cold for [coldMs] milliseconds from now on. */
        fun learn(coldMs: Long) {
            target.apply(Service("models", 100, null, coldStart = ColdStart(CALLS_PER_SECOND, 3_000)), scheduler.now())
            target.callLimit.cold.state(coldMs, scheduler.now())
        }

        private fun send(
            datagram: GatewayDatagram,
            receivers: Collection<InetSocketAddress>,
        ) = receivers.mapNotNull(byAddress::get).forEach { receiver ->
            if (isSilent || receiver.isSilent || random.nextDouble() < LOSS) return@forEach
            scheduler.after(1 + random.nextLong(3)) { receiver.receive(datagram) }
        }

        private fun receive(datagram: GatewayDatagram) {
            if (isSilent) return
            val now = scheduler.now()
            datagram.permitAsk?.let { permits.receive(it, set.members.getValue(datagram.sender), now) }
            datagram.permitGrant?.let { permits.receive(it, now) }
        }

        fun call() {
            if (isSilent || target.callLimit.isBlocked(scheduler.now())) return
            if (!target.isLimited(scheduler.now())) return
            permits.request(target, MAX_WAIT_MS) { grant ->
                if (grant.isGranted) scheduler.after(grant.waitMs) { arrivals.add(scheduler.now()) }
            }
        }
    }

    /** Lets all instances learn within [spreadMs] that the target is cold; the [late] ones know nothing. */
    fun learnAll(
        spreadMs: Long,
        late: Set<Member> = emptySet(),
    ) = members.filter { it !in late }.forEach { member ->
        val delay = if (spreadMs == 0L) 0 else random.nextLong(spreadMs)
        scheduler.after(delay) { member.learn(COLD_MS) }
    }

    fun play(ms: Long) = repeat(ms.toInt()) {
        if (random.nextDouble() < demand / 1_000) members.random(random).call()
        scheduler.advance(1)
    }

    fun mostInSecond(): Int = arrivals.maxOfOrNull { begin -> arrivals.count { it in begin until begin + WINDOW_MS } } ?: 0

    fun count(): Int = arrivals.size
}

class ColdTargetsSpec :
    FunSpec({
        listOf(6 to 40, 77 to 20, 300 to 6).forEach { (size, seeds) ->
            test("$size instances send a cold target no more than it bears, and most of what it accepts") {
                forEachSeed(seeds) { seed ->
                    val fleet = ColdFleet(seed, size, demand = 150.0)
                    fleet.learnAll(spreadMs = 300)
                    fleet.play(COLD_MS - 500)
                    withClue("calls in a second") { fleet.mostInSecond().toDouble() shouldBeLessThanOrEqualTo TOLERATED }
                    withClue("calls") { fleet.count().toDouble() shouldBeGreaterThanOrEqualTo CALLS_PER_SECOND * 7 * 0.8 }
                }
            }

            test("$size instances stay within it when the granting instance doesn't know that the target is cold") {
                forEachSeed(seeds) { seed ->
                    val fleet = ColdFleet(seed, size, demand = 150.0)
                    fleet.learnAll(spreadMs = 300, late = setOf(fleet.granting))
                    fleet.play(COLD_MS - 500)
                    withClue("calls in a second") { fleet.mostInSecond().toDouble() shouldBeLessThanOrEqualTo TOLERATED }
                }
            }

            test("$size instances stay within it while the granting instance is silent from the start, or falls silent") {
                forEachSeed(seeds) { seed ->
                    val fleet = ColdFleet(seed, size, demand = 150.0)
                    fleet.learnAll(spreadMs = 300)
                    if (seed % 2 == 0) fleet.play(2_000)
                    fleet.granting.isSilent = true
                    fleet.play(COLD_MS - 2_500)
                    withClue("calls in a second") { fleet.mostInSecond().toDouble() shouldBeLessThanOrEqualTo TOLERATED }
                }
            }
        }
    })
