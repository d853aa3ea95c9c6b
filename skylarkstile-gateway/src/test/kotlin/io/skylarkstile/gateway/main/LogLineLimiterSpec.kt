/*
 * Guards against load that floods the log, and against lines that are omitted without being counted.
 */
package io.skylarkstile.gateway.main

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class LogLineLimiterSpec :
    FunSpec({
        test("each second has its own limit, and omitted lines are counted") {
            val limiter = LogLineLimiter(maxPerSecond = 3)
            (1..5).count { limiter.tryAcquire(1_000) } shouldBe 3
            (1..5).count { limiter.tryAcquire(2_000) } shouldBe 3
            limiter.takeOmitted() shouldBe 4
            limiter.takeOmitted() shouldBe 0
        }
    })
