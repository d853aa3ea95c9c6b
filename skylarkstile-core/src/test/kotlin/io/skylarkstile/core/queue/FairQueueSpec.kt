/*
 * Guards against a workspace that floods a target: while others have requests, it must not get more than its weighted share, nor may it
 * displace their waiting requests.
 */
package io.skylarkstile.core.queue

import io.kotest.assertions.withClue
import io.kotest.common.ExperimentalKotest
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

private const val MAX_TOKENS = 200
private const val MAX_RUNNING = 8

private fun waiting(
    item: Int,
    workspace: String,
    weight: Double = 1.0,
    model: String = "m",
    now: Long = 0,
    deadline: Long = 1_000_000_000,
) = Waiting(item, workspace, weight, model, 64.0, now, deadline)

/**
 * Runs one flooding and three moderate workspaces that always have requests. Returns the largest lead of the flooding one in generated
 * tokens divided by weight, scaled by the smallest weight.
 */
private fun largestLead(seed: Long): Double {
    val random = Random(seed)
    val queue = FairQueue<Int>(512)
    val weights = (0..3).associate { "w$it" to random.nextDouble(0.5, 4.0) }
    val served = weights.keys.associateWithTo(HashMap()) { 0.0 }
    val running = ArrayList<Waiting<Int>>()
    var lead = 0.0
    var now = 0L

    fun add(workspace: String) =
        queue.add(waiting(0, workspace, weights.getValue(workspace), now = now), true, running.size, MAX_RUNNING, now)
    weights.keys.forEach { workspace -> repeat(if (workspace == "w0") 50 else 10) { add(workspace) } }
    repeat(3_000) {
        now += random.nextLong(1, 20)
        while (running.size < MAX_RUNNING) running.add(queue.next()!!)
        val done = running.removeAt(random.nextInt(running.size))
        val tokens = random.nextInt(1, MAX_TOKENS)
        queue.finished(done, tokens, 100)
        served.merge(done.workspace, tokens / weights.getValue(done.workspace), Double::plus)
        add(done.workspace)
        if (queue.size < 400) add("w0")
        lead = maxOf(lead, served.getValue("w0") - (1..3).minOf { served.getValue("w$it") })
    }
    return lead * weights.values.min()
}

@OptIn(ExperimentalKotest::class)
class FairQueueSpec :
    FunSpec({
        test("a workspace sending five times its share takes no more than its weight while others have work") {
            var worst = 0.0
            checkAll(PropTestConfig(seed = 20_261_204, iterations = 300), Arb.long()) { seed ->
                // Running requests are charged by an estimate until they end, so a lead of up to their tokens is possible.
                val lead = largestLead(seed)
                worst = maxOf(worst, lead)
                withClue("seed $seed") { lead shouldBeLessThanOrEqual (MAX_RUNNING + 1.0) * MAX_TOKENS }
            }
            println("FairQueueSpec: largest lead ${worst.toInt()} weighted tokens over 3000 requests a scenario")
        }

        test("a workspace that was idle accumulates no credit but is served next") {
            val queue = FairQueue<Int>(100)
            repeat(20) { queue.add(waiting(it, "busy"), true, 8, 8, 0) }
            repeat(10) { queue.finished(queue.next()!!, 64, 100) }
            repeat(5) { queue.add(waiting(100 + it, "late"), true, 8, 8, 0) }
            (0..5).map { queue.next()!!.workspace }.count { it == "late" } shouldBe 3
        }

        test("requests whose adapter is not loaded do not block others and keep their order when it is") {
            val queue = FairQueue<Int>(100)
            queue.add(waiting(1, "w", model = "cold", now = 1), false, 0, 8, 1)
            queue.add(waiting(2, "w", model = "hot", now = 2), true, 0, 8, 2)
            queue.next()!!.item shouldBe 2
            queue.next() shouldBe null
            queue.add(waiting(3, "w", model = "hot", now = 3), true, 0, 8, 3)
            queue.loaded("cold")
            listOf(queue.next()!!.item, queue.next()!!.item) shouldBe listOf(1, 3)
        }

        test("a full queue refuses the flooding workspace and evicts its newest request for a workspace with fewer waiting requests") {
            val queue = FairQueue<Int>(10)
            repeat(10) { queue.add(waiting(it, "flood", now = it.toLong()), true, 8, 8, 10) }
            queue.add(waiting(10, "flood"), true, 8, 8, 10).shouldBeInstanceOf<Entry.Refused>().reason shouldBe "queue-full"
            queue.add(waiting(11, "modest"), true, 8, 8, 10) shouldBe Entry.Accepted(9)
            queue.size shouldBe 10
        }

        test("a request that would wait past its deadline is refused at once; another workspace's backlog counts only by share") {
            val queue = FairQueue<Int>(100)
            repeat(40) { queue.add(waiting(it, "flood"), true, 8, 8, 0) }
            queue.add(waiting(40, "flood", deadline = 1_000), true, 8, 8, 0).shouldBeInstanceOf<Entry.Refused>().reason shouldBe "deadline"
            queue.add(waiting(41, "modest", deadline = 1_000), true, 8, 8, 0).shouldBeInstanceOf<Entry.Accepted<Int>>()
        }
    })
