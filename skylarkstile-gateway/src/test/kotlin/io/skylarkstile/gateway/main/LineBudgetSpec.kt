/*
 * Guards against a load that floods the log, and against lines that are left out without a trace.
 */
package io.skylarkstile.gateway.main

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class LineBudgetSpec :
    FunSpec({
        test("each second has its lines, and the rest is counted") {
            val budget = LineBudget(most = 3)
            (1..5).count { budget.take(1_000) } shouldBe 3
            (1..5).count { budget.take(2_000) } shouldBe 3
            budget.takeOmitted() shouldBe 4
            budget.takeOmitted() shouldBe 0
        }
    })
