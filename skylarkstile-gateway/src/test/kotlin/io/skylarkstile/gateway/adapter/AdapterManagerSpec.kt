/*
 * Guards against two concurrent orders to one target, orders without a valid lease, and base models loaded faster than the weight store
 * allows.
 */
package io.skylarkstile.gateway.adapter

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.skylarkstile.core.placement.Popularity
import io.skylarkstile.gateway.ManualScheduler
import io.skylarkstile.gateway.adapter
import io.skylarkstile.gateway.entry
import io.skylarkstile.gateway.membership.InstanceRecord
import io.skylarkstile.gateway.membership.InstanceSet
import io.skylarkstile.gateway.membership.OrderLease
import io.skylarkstile.gateway.model.AdapterName
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.model.Service
import io.skylarkstile.gateway.model.TargetEntry
import io.skylarkstile.gateway.target.TargetState
import io.skylarkstile.gateway.target.TargetTable
import java.net.InetSocketAddress

/** Time after which the client gives an order up that gets no answer, in milliseconds. */
private const val ORDER_TIMEOUT_MS = 250L

/** Targets that answer every order after 5 ms, and the number of orders in progress at each. */
private class CountingTargetClient(
    private val scheduler: ManualScheduler,
    private val models: Set<String>,
) : TargetClient {
    val sent = ArrayList<Pair<String, TargetOrder>>()

    /** Times of all orders, and the number of the next orders that get no answer. */
    val sentAt = ArrayList<Long>()
    var unanswered = 0
    val inProgress = HashMap<String, Int>()
    var maxInProgress = 0
    private val present = HashMap<String, HashSet<AdapterVersion>>()
    private val acceptedOrders = HashMap<String, Long>()

    override fun probe(
        target: TargetEntry,
        service: Service,
        done: (Boolean) -> Unit,
    ) = done(true)

    override fun order(
        target: TargetEntry,
        order: TargetOrder,
        precondition: OrderPrecondition,
        done: (OrderOutcome) -> Unit,
    ) {
        sent.add(target.id to order)
        sentAt.add(scheduler.now())
        if (unanswered > 0) {
            unanswered--
            scheduler.after(ORDER_TIMEOUT_MS) { done(OrderOutcome.Unknown) }
            return
        }
        maxInProgress = maxOf(maxInProgress, inProgress.merge(target.id, 1, Int::plus)!!)
        scheduler.after(5) {
            inProgress.merge(target.id, -1, Int::plus)
            val held = present.getOrPut(target.id) { HashSet() }
            val outcome =
                when (order) {
                    is AdapterOrder.Load -> OrderOutcome.Accepted.also { held.add(order.adapter) }
                    is AdapterOrder.Unload -> OrderOutcome.Done.also { held.remove(order.adapter) }
                    is AdapterOrder.Check -> OrderOutcome.Done
                    is TargetOrder.LoadModel -> OrderOutcome.Accepted
                }
            if (order !is AdapterOrder.Check) acceptedOrders.merge(target.id, 1, Long::plus)
            done(outcome)
        }
    }

    override fun report(
        target: TargetEntry,
        done: (TargetReport?) -> Unit,
    ) {
        scheduler.after(5) { done(TargetReport(acceptedOrders[target.id] ?: 0, models, false, present[target.id].orEmpty(), emptySet())) }
    }
}

private class FakeFleet(
    private val needsModel: Boolean,
) : FleetView {
    override fun isInUse(
        target: TargetState,
        adapter: AdapterVersion,
    ) = false

    override fun currentVersion(name: AdapterName) = AdapterVersion(name, 1)

    override fun adapterCapacity(
        service: String,
        held: Set<String>,
    ) = 4

    override fun hasAdapters(service: String) = true

    override fun missingModelOrNull(
        target: TargetState,
        held: Set<String>,
    ) = "base".takeIf { needsModel && it !in held }

    override fun maxModelLoads(service: String) = 2
}

private class Fixture(
    targetIds: List<String>,
    models: Set<String> = setOf("base"),
) {
    val scheduler = ManualScheduler()
    val lease = OrderLease("a", 3_000)
    val client = CountingTargetClient(scheduler, models)
    val targets = TargetTable().apply { targetIds.forEach { put(entry(it)) } }
    var onChange: (TargetState) -> Unit = {}
    val adapterManager =
        AdapterManager("a", lease, targets, client, FakeFleet(models.isEmpty()), Popularity(), scheduler) { onChange(it) }

    init {
        val record = InstanceRecord("a", "dc", InetSocketAddress("127.0.0.1", 1), InetSocketAddress("127.0.0.1", 2), 1, emptySet())
        lease.apply(InstanceSet(mapOf("a" to record)), targetIds, 3, emptySet(), 0)
    }

    /** Advances the clock by [ms] in steps of 50 ms, like the timer of an instance, with a confirmation of the set in each step. */
    fun run(ms: Long) {
        repeat((ms / 50).toInt()) {
            lease.confirm(scheduler.now(), 3)
            adapterManager.refresh()
            scheduler.advance(50)
        }
    }
}

class AdapterManagerSpec :
    FunSpec({
        test("a request made while a change is being published doesn't lead to a second concurrent order") {
            val fixture = Fixture(listOf("t"))
            fixture.run(8_000)
            var next = 0
            fixture.onChange = { repeat(3) { fixture.adapterManager.requestAdapter("t", adapter("a${next++ % 20}")) } }
            repeat(40) {
                fixture.adapterManager.requestAdapter("t", adapter("b${it % 7}"))
                fixture.run(50)
            }
            fixture.client.sent.size shouldBeGreaterThan 40
            fixture.client.maxInProgress shouldBe 1
        }

        test("no order is sent before the wait for an earlier holder is over, although the adapters of the target are known") {
            val fixture = Fixture(listOf("t"))
            fixture.adapterManager.refresh()
            fixture.adapterManager.requestAdapter("t", adapter("a"))
            fixture.run(7_000)
            fixture.client.sent.shouldBeEmpty()
            fixture.adapterManager.known() shouldHaveSize 1
            fixture.run(1_000)
            fixture.adapterManager.requestAdapter("t", adapter("a"))
            fixture.client.sent shouldHaveSize 1
        }

        test("targets that all restarted load their base models no faster than the weight store allows") {
            val fixture = Fixture(List(6) { "t$it" }, models = emptySet())
            fixture.run(7_400)
            val first =
                fixture.client.sent
                    .map { it.first }
                    .toSet()
            first shouldHaveSize 2
        }

        test("an order without an answer delays the target's next order no longer than its report needs") {
            val fixture = Fixture(listOf("t"))
            fixture.run(8_000)
            fixture.client.unanswered = 1
            fixture.adapterManager.requestAdapter("t", adapter("a"))
            repeat(10) {
                fixture.adapterManager.requestAdapter("t", adapter("b"))
                fixture.run(100)
            }
            val (lost, next) = fixture.client.sentAt
            (next - lost) shouldBeLessThanOrEqualTo 400L
        }
    })
