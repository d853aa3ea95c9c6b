/*
 * Tests that the load budget protects the weight store: the limits hold for loads that other instances request from the owner, and without
 * an owner the first members load at a reduced rate.
 */
package io.skylarkstile.entry.target

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.skylarkstile.core.cluster.Ownership
import io.skylarkstile.core.cluster.loadBudgetResource
import io.skylarkstile.core.load.LoadLimits
import io.skylarkstile.schema.generated.LoadAsk
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

private val limits = LoadLimits(loadsPerSecond = 20.0, loadsAtOnce = 2, adaptersInFlight = 8, permitMs = 300)
private val names = listOf("e1", "e2", "e3")

private fun budgets(owner: String?): Map<String, LoadBudget> {
    val networks = names.associateWith { FakeNetwork(it) }
    networks.forEach { (name, network) -> networks.filterKeys { it != name }.forEach { network.peers[it.key] = it.value } }
    return names.associateWith { name ->
        val cluster = FakeCluster(name, names)
        cluster.owners["load-budget"] = if (owner == null) Ownership.Pending else Ownership.Elsewhere(owner)
        if (name == owner) cluster.owners["load-budget"] = Ownership.Held(1)
        LoadBudget(cluster, networks.getValue(name), limits, clock).also { if (name == owner) it.acquired(loadBudgetResource, 1) }
    }
}

class LoadBudgetSpec :
    FunSpec({
        test("loads of three instances stay within the rate and the number at once of the owner") {
            val budgets = budgets("e1")
            val running = AtomicInteger()
            val maxRunning = AtomicInteger()
            val starts = CopyOnWriteArrayList<Long>()
            val end = clock() + 2_000
            withContext(Dispatchers.Default) {
                budgets.forEach { (name, budget) ->
                    repeat(3) { number ->
                        launch {
                            while (clock() < end) {
                                val permit = budget.acquireOrNull(LoadAsk("t$name", "a$number@1", 1 + number, 0)) ?: continue
                                starts.add(clock())
                                maxRunning.accumulateAndGet(running.incrementAndGet(), ::maxOf)
                                delay(60)
                                running.decrementAndGet()
                                permit.release()
                            }
                        }
                    }
                }
            }
            maxRunning.get() shouldBeLessThanOrEqual 2
            println("LoadBudgetSpec: ${starts.size} loads in 2 s at a limit of 20 a second")
            starts.size shouldBeGreaterThan 20
            val sorted = starts.sorted()
            sorted.indices.forEach { first ->
                // A start is recorded up to 20 ms after its grant.
                sorted.drop(first).count { it - sorted[first] <= 500 } shouldBeLessThanOrEqual 20 * 520 / 1_000 + 2 + 1
            }
        }

        test("without an owner for a second the first members load one at a time, the others wait") {
            val budgets = budgets(null)
            val ask = LoadAsk("t1", "a@1", 1, 0)
            val first = budgets.getValue("e1")
            first.acquireOrNull(ask).shouldBeNull()
            budgets.getValue("e3").acquireOrNull(ask).shouldBeNull()
            delay(1_050)
            val permit = first.acquireOrNull(ask)
            (permit != null) shouldBe true
            first.acquireOrNull(ask).shouldBeNull()
            budgets.getValue("e3").acquireOrNull(ask).shouldBeNull()
        }
    })
