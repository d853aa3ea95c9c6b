/*
 * Guards against retries that multiply the load when targets fail.
 */
package io.skylarkstile.core.retry

import io.kotest.common.ExperimentalKotest
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

@OptIn(ExperimentalKotest::class)
class RetryBudgetSpec :
    FunSpec({
        test("retries never exceed a tenth of the requests plus the burst, in any window and for each workspace") {
            checkAll(PropTestConfig(seed = 20_261_204, iterations = 500), Arb.long()) { seed ->
                val random = Random(seed)
                val budget = RetryBudget()
                // The excess of retries over a tenth of the requests may rise by at most the burst from any earlier point.
                var lead = 0.0
                var lowest = 0.0
                repeat(2_000) {
                    if (random.nextInt(5) == 0) {
                        budget.request("w")
                        lead -= 0.1
                    } else if (budget.tryRetry("w")) {
                        lead += 1.0
                    }
                    lowest = minOf(lowest, lead)
                    (lead - lowest) shouldBeLessThanOrEqual 10.0 + 0.1 + 1e-6
                }
            }
        }

        test("one workspace does not use up the budget of another") {
            val budget = RetryBudget()
            while (budget.tryRetry("a")) Unit
            budget.tryRetry("b") shouldBe true
        }
    })
