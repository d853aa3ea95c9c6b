/*
 * Guards against load that floods the log, and against lines that are omitted without being counted.
 */
package io.skylarkstile.gateway.main

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class LineBudgetSpec :
    FunSpec({
        test("each second has its own limit, and omitted lines are counted") {
            val budget = LineBudget(maxPerSecond = 3)
            (1..5).count { budget.take(1_000) } shouldBe 3
            (1..5).count { budget.take(2_000) } shouldBe 3
            budget.takeOmitted() shouldBe 4
            budget.takeOmitted() shouldBe 0
        }
    })
