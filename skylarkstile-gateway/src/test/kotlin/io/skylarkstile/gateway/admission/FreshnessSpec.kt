/*
 * Guards against keys and leases that stay in use without recent confirmation, including after a suspension of the machine.
 */
package io.skylarkstile.gateway.admission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class FreshnessSpec :
    FunSpec({
        test("a confirmation expires after the maximum age, and an older one doesn't shorten it") {
            val freshness = Freshness(1_000)
            freshness.isFresh(0) shouldBe false
            freshness.confirm(500)
            freshness.confirm(100)
            freshness.isFresh(1_500) shouldBe true
            freshness.isFresh(1_501) shouldBe false
            freshness.invalidate(600)
            freshness.isFresh(601) shouldBe false
        }

        // After a suspension, a machine reads answers that arrived seconds earlier.
        test("an answer to a request sent before a suspension confirms nothing after it") {
            val freshness = Freshness(1_000)
            freshness.invalidate(600)
            freshness.confirm(610, requestedAt = 590)
            freshness.isFresh(610) shouldBe false
            freshness.confirm(620, requestedAt = 605)
            freshness.isFresh(620) shouldBe true
        }

        test("drift between the wall clock and the monotonic clock counts as a suspension, and late timers don't") {
            val detector = SuspensionDetector(0, 1_000_000)
            detector.check(50, 1_000_060) shouldBe false
            detector.check(100, 1_003_110) shouldBe true
            detector.check(150, 1_003_160) shouldBe false
            detector.check(200, 1_001_210) shouldBe true
        }
    })
