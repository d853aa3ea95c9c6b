/*
 * Guards against repeats that multiply the load of failing targets.
 */
package io.skylarkstile.gateway.retry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.skylarkstile.gateway.playSeeds
import kotlin.random.Random

class RetryAllowanceSpec :
    FunSpec({
        test("in every sliding window the repeats of all instances stay within the ratio and the fixed part") {
            playSeeds(30) { seed ->
                val random = Random(seed)
                val instances = 1 + random.nextInt(8)
                val allowances = List(instances) { RetryAllowance(0.2, 52.0, 10_000) }
                val requests = ArrayList<Long>()
                val repeats = ArrayList<Long>()
                for (now in 0L..40_000L step 20) {
                    val busy = now / 5_000 % 2 == 0L
                    if (random.nextInt(10) < (if (busy) 9 else 1)) {
                        requests.add(now)
                        val allowance = allowances.random(random)
                        allowance.request(now)
                        repeat(3) { if (allowance.tryRepeat(now, instances)) repeats.add(now) }
                    }
                }
                for (from in 0L..30_000L step 250) {
                    val repeated = repeats.count { it in from until from + 10_000 }
                    val asked =
                        maxOf(
                            requests.count { it in from until from + 10_000 },
                            requests.count {
                                it in
                                    from - 5_000 until from + 5_000
                            },
                        )
                    repeated.toDouble() shouldBeLessThanOrEqualTo 0.2 * asked + 52
                }
            }
        }
    })
