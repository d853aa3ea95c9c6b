/*
 * Guards against a fleet that exceeds the limit of a target, that leaves much of it unused, or that keeps it after the target has lifted it,
 * with lost datagrams, lost instances and different views of the set of instances.
 */
package io.skylarkstile.gateway.peer

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.skylarkstile.gateway.ManualScheduler
import io.skylarkstile.gateway.entry
import io.skylarkstile.gateway.forEachSeed
import io.skylarkstile.gateway.membership.InstanceRecord
import io.skylarkstile.gateway.membership.InstanceSet
import io.skylarkstile.gateway.model.NamedLimit
import io.skylarkstile.gateway.model.ResponseHead
import io.skylarkstile.gateway.target.TargetState
import io.skylarkstile.gateway.target.TargetTable
import io.skylarkstile.schema.generated.GatewayDatagram
import java.net.InetSocketAddress
import kotlin.random.Random

private const val TARGET = "t-1"
private const val LOSS = 0.02
private const val WINDOW_MS = 4_000L

/** The limit binds this long after it was first named, in milliseconds. */
private const val CONTACT_MS = 3_000L
private const val RESPONSE_MS = 20L
private const val MAX_WAIT_MS = 60L

private fun responseHead(named: NamedLimit) = ResponseHead(
    status = 200,
    callId = "c",
    isSigned = true,
    isNotExecuted = false,
    targetId = TARGET,
    keepAliveMs = null,
    hasContentEncoding = false,
    namedLimit = named,
)

/** Simulates [size] instances that send [callsPerSecond] calls together to one target, as far as they may. */
private class PermitFleet(
    seed: Int,
    size: Int,
    private val callsPerSecond: Double,
) {
    private val random = Random(seed)
    val scheduler = ManualScheduler()
    val records =
        List(size) {
            val address = InetSocketAddress("10.0.${it / 200}.${it % 200 + 1}", 7_600)
            InstanceRecord("i-$it", "dc-${it % 3}", address, address, 1, emptySet())
        }
    val set = InstanceSet(records.associateBy { it.name })
    val members = records.map(::Member)
    private val byAddress = members.associateBy { it.record.peers }
    var named: NamedLimit = NamedLimit.None
    val arrivals = ArrayList<Long>()
    val granting: Member get() = members.first { it.record.name == set.orderHolderOrNull(TARGET) }

    inner class Member(
        val record: InstanceRecord,
    ) {
        private val table = TargetTable().apply { put(entry(TARGET)) }
        val target: TargetState get() = checkNotNull(table[TARGET])
        val permits = FleetCallPermits(record, scheduler, table, ::send).apply { apply(set) }
        var isSilent = false

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
            datagram.targetLimit?.let { permits.receive(it, datagram.sender, now) }
        }

        fun call() {
            if (isSilent || target.callLimit.isBlocked(scheduler.now())) return
            if (!target.isLimited(scheduler.now())) return sendCall()
            permits.request(target, MAX_WAIT_MS) { grant ->
                if (grant.isGranted) scheduler.after(grant.waitMs) { sendCall() }
            }
        }

        private fun sendCall() {
            val sentAt = scheduler.now()
            arrivals.add(sentAt)
            val says = named
            scheduler.after(RESPONSE_MS) { permits.responseReceived(target, responseHead(says), sentAt) }
        }
    }

    fun play(ms: Long) = repeat(ms.toInt()) {
        if (random.nextDouble() < callsPerSecond / 1_000) members.random(random).call()
        scheduler.advance(1)
    }

    /** Returns the largest number of calls within a window that begins at [from] or later. */
    fun mostInWindow(from: Long): Int {
        val bound = arrivals.filter { it >= from }
        return bound.maxOfOrNull { begin -> bound.count { it in begin until begin + WINDOW_MS } } ?: 0
    }
}

private fun tolerated(limit: Double) = 1.5 * limit * WINDOW_MS / 1_000 + 5

class FleetCallPermitsSpec :
    FunSpec({
        listOf(6 to 4.0, 6 to 40.0, 95 to 4.0, 300 to 4.0, 95 to 0.5).forEach { (size, limit) ->
            test("$size instances stay within a limit of $limit calls a second and use most of it") {
                forEachSeed(3) { seed ->
                    val fleet = PermitFleet(seed, size, callsPerSecond = limit * 6)
                    fleet.named = NamedLimit.CallRate(limit)
                    fleet.play(CONTACT_MS + 16_000)
                    fleet.mostInWindow(CONTACT_MS).toDouble() shouldBeLessThanOrEqualTo tolerated(limit)
                    fleet.arrivals.count { it >= CONTACT_MS }.toDouble() shouldBeGreaterThanOrEqualTo limit * 16 * 0.8
                }
            }
        }

        listOf(6, 95).forEach { size ->
            test("$size instances notice within 1.5 seconds that the limit is lifted") {
                forEachSeed(3) { seed ->
                    val fleet = PermitFleet(seed, size, callsPerSecond = 40.0)
                    fleet.named = NamedLimit.CallRate(4.0)
                    fleet.play(6_000)
                    fleet.named = NamedLimit.None
                    fleet.play(1_500)
                    val begin = fleet.scheduler.now()
                    fleet.play(4_000)
                    withClue("calls in 4 s") { fleet.arrivals.count { it >= begin } shouldBeGreaterThanOrEqualTo 130 }
                }
            }

            test("$size instances stay within the limit and use some of it while the granting instance is silent, and after its removal") {
                forEachSeed(3) { seed ->
                    val fleet = PermitFleet(seed, size, callsPerSecond = 40.0)
                    fleet.named = NamedLimit.CallRate(4.0)
                    fleet.play(6_000)
                    val lost = fleet.granting
                    lost.isSilent = true
                    fleet.play(4_000)
                    // Instances learn of the removal at different times, so two instances grant calls for a while.
                    val rest = InstanceSet(fleet.set.members - lost.record.name)
                    fleet.members.shuffled(Random(seed)).forEach {
                        it.permits.apply(rest)
                        fleet.play(1_000L / size)
                    }
                    val begin = fleet.scheduler.now()
                    fleet.play(6_000)
                    fleet.mostInWindow(CONTACT_MS).toDouble() shouldBeLessThanOrEqualTo tolerated(4.0)
                    withClue("calls after the removal") { fleet.arrivals.count { it >= begin } shouldBeGreaterThanOrEqualTo 18 }
                }
            }
        }

        test("all instances of a fleet learn of a limit soon after the first of them") {
            val fleet = PermitFleet(1, 95, callsPerSecond = 10.0)
            fleet.named = NamedLimit.CallRate(4.0)
            fleet.play(1_000)
            val now = fleet.scheduler.now()
            withClue("instances that know the limit") { fleet.members.count { it.target.isLimited(now) } shouldBeGreaterThanOrEqualTo 85 }
        }

        test("a limit of 0 lets a call through now and then, whose response can lift it") {
            val fleet = PermitFleet(1, 6, callsPerSecond = 40.0)
            fleet.named = NamedLimit.CallRate(0.0)
            fleet.play(CONTACT_MS + 20_000)
            fleet.mostInWindow(CONTACT_MS) shouldBeLessThanOrEqualTo 5
            fleet.named = NamedLimit.None
            fleet.play(8_000)
            fleet.members.count { it.target.isLimited(fleet.scheduler.now()) } shouldBe 0
        }

        test("the response to a call that was sent before the limit was named doesn't lift it, nor does a failure or a refusal") {
            val member = PermitFleet(1, 1, callsPerSecond = 0.0).members.single()
            member.permits.responseReceived(member.target, responseHead(NamedLimit.CallRate(4.0)), 0)
            member.permits.responseReceived(member.target, responseHead(NamedLimit.None), -1)
            member.permits.responseReceived(member.target, responseHead(NamedLimit.None).copy(status = 503), 1)
            member.permits.responseReceived(member.target, responseHead(NamedLimit.None).copy(isSigned = false), 1)
            member.permits.responseReceived(member.target, responseHead(NamedLimit.Malformed), 1)
            member.target.callLimit.callsPerSecond shouldBe 4.0
            member.permits.responseReceived(member.target, responseHead(NamedLimit.None), 1)
            member.target.callLimit.callsPerSecond shouldBe null
        }
    })
