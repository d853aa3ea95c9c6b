/*
 * Guards against retries that multiply the load on failing targets.
 */
package io.skylarkstile.gateway.retry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.skylarkstile.gateway.forEachSeed
import kotlin.random.Random

class RetryAllowanceSpec :
    FunSpec({
        test("the retries of all instances stay within the ratio plus the fixed part in every sliding window") {
            forEachSeed(30) { seed ->
                val random = Random(seed)
                val instances = 1 + random.nextInt(8)
                val allowances = List(instances) { RetryAllowance(0.2, 52.0, 10_000) }
                val requests = ArrayList<Long>()
                val retries = ArrayList<Long>()
                for (now in 0L..40_000L step 20) {
                    val busy = now / 5_000 % 2 == 0L
                    if (random.nextInt(10) < (if (busy) 9 else 1)) {
                        requests.add(now)
                        val allowance = allowances.random(random)
                        allowance.countRequest(now)
                        repeat(3) { if (allowance.tryRetry(now, instances)) retries.add(now) }
                    }
                }
                for (from in 0L..30_000L step 250) {
                    val retried = retries.count { it in from until from + 10_000 }
                    val requested =
                        maxOf(
                            requests.count { it in from until from + 10_000 },
                            requests.count {
                                it in
                                    from - 5_000 until from + 5_000
                            },
                        )
                    retried.toDouble() shouldBeLessThanOrEqualTo 0.2 * requested + 52
                }
            }
        }
    })
