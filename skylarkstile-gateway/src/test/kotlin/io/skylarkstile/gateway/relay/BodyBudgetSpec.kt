/*
 * Guards against request bodies that take more memory than there is, and against reservations that are never released.
 */
package io.skylarkstile.gateway.relay

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.netty.buffer.UnpooledByteBufAllocator
import io.skylarkstile.gateway.forEachSeed
import kotlin.random.Random

private const val MEMORY_BYTES = 1_000_000L

class BodyBudgetSpec :
    FunSpec({
        test("long bodies leave a part of the memory to short ones") {
            val budget = BodyBudget(MEMORY_BYTES)
            budget.tryReserve(750_000, 750_000) shouldBe true
            budget.tryReserve(20_000, 20_000) shouldBe false
            budget.tryReserve(10_000, 10_000) shouldBe true
        }

        test("the time to return follows the rate at which memory comes free") {
            val budget = BodyBudget(MEMORY_BYTES)
            budget.retryAfterMs(100_000, 0) shouldBe 2_000
            for (now in 0L..6_000L step 100) {
                budget.tryReserve(100_000, 100_000)
                budget.release(100_000, now)
            }
            budget.retryAfterMs(500_000, 6_000) shouldBeInRange 400L..600L
        }

        test("after any sequence of bodies, read whole, refused or dropped, nothing is reserved, and never more than the memory") {
            forEachSeed(200) { seed ->
                val random = Random(seed)
                val budget = BodyBudget(MEMORY_BYTES)
                val bodies = List(20) { RequestBody(budget) }
                val part = UnpooledByteBufAllocator.DEFAULT.buffer().writeZero(30_000)
                repeat(500) { step ->
                    val body = bodies[random.nextInt(bodies.size)]
                    when (random.nextInt(6)) {
                        0 -> body.tryReserve(random.nextLong(200_000))
                        1, 2, 3 -> body.tryAdd(part.slice(0, random.nextInt(30_000)), UnpooledByteBufAllocator.DEFAULT)
                        4 -> body.take().let { if (it.capacity() > 0) it.release() }
                        else -> body.drop(step.toLong())
                    }
                    budget.reservedBytes shouldBeInRange 0L..MEMORY_BYTES
                }
                bodies.forEach { it.drop(500) }
                budget.reservedBytes shouldBe 0
                part.release()
            }
        }
    })
