package io.skylarkstile.entry.limit

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeSorted
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.skylarkstile.core.limit.Admission
import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.schema.generated.QuotaSettings
import io.skylarkstile.schema.generated.WorkspaceRecord
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.util.Collections

private fun record(
    rate: Double,
    burst: Double,
) = WorkspaceRecord(2, rate, burst, rate * 100, burst * 100, 1.0)

/** Runs [size] limiters in one process, connected by fakes. */
private class LimiterFleet(
    size: Int,
    record: WorkspaceRecord,
) {
    val wires = Wires()
    private val names = (1..size).map { "i$it" }
    private val scope = CoroutineScope(Dispatchers.Default + Job())
    val clusters = names.map { FixedCluster(it, names) }
    val snapshots = FixedSnapshots(Snapshot(1, workspaces = mapOf("w" to record)))
    val limiters =
        clusters.map { borrowingLimiter(QuotaSettings(), it, snapshots, FakePeers(it.self, names, wires), scope, ::clock) }

    /** Runs [action] after [fillMs] milliseconds, in which the buckets fill up, and stops the limiters. */
    suspend fun <T> use(
        fillMs: Long,
        action: suspend LimiterFleet.() -> T,
    ): T = try {
        delay(fillMs)
        action()
    } finally {
        scope.cancel()
    }
}

class BorrowingLimiterSpec :
    FunSpec({
        test("one instance admits the burst of all instances, and no more") {
            LimiterFleet(3, record(0.5, 30.0).copy(requestsPerSecond = 60.0, tokensPerSecond = 6_000.0)).use(1_800) {
                val start = clock()
                val answers = coroutineScope { (1..60).map { async { limiters[0].admit("w", 100) } }.awaitAll() }
                val admitted = answers.count { it is Admission.Admitted }
                admitted shouldBeGreaterThanOrEqualTo 27
                admitted.toDouble() shouldBeLessThan 30.0 + 60.0 * (clock() - start + 1) / 1_000.0 + 1
                answers.filterIsInstance<Admission.Refused>().forEach { it.retryAfterMs shouldBeGreaterThan 0 }
                limiters[0]
                    .counts()
                    .getValue("w")
                    .refused.values
                    .sum() shouldBe answers.count { it is Admission.Refused }.toLong()
            }
        }

        test("asks to one peer stay at or below 20 in a second under overload") {
            LimiterFleet(2, record(40.0, 10.0)).use(1_300) {
                val end = clock() + 2_000
                coroutineScope {
                    (1..20).map { async(Dispatchers.Default) { while (clock() < end) limiters[0].admit("w", 1) } }.awaitAll()
                }
                val times =
                    wires.askTimes
                        .getValue("i1>i2")
                        .toList()
                        .sorted()
                // An ask is sent up to some ms after its decision, so the window is slightly shorter than a second.
                times.maxOf { from -> times.count { it in from until from + 900 } } shouldBeLessThan 21
            }
        }

        test("a cancelled charge and unused tokens can be spent again") {
            LimiterFleet(1, record(1.0, 2.0)).use(3_300) {
                val first = limiters[0].admit("w", 150).shouldBeInstanceOf<Admission.Admitted>()
                limiters[0].admit("w", 150).shouldBeInstanceOf<Admission.Refused>().reason shouldBe "token-rate"
                first.settle(10)
                first.cancel()
                val second = limiters[0].admit("w", 150).shouldBeInstanceOf<Admission.Admitted>()
                second.cancel()
                limiters[0].admit("w", 150).shouldBeInstanceOf<Admission.Admitted>()
            }
        }

        test("refusals name their reason") {
            LimiterFleet(1, record(1.0, 2.0)).use(1_200) {
                limiters[0].admit("other", 1).shouldBeInstanceOf<Admission.Refused>().reason shouldBe "unknown-workspace"
                limiters[0].admit("w", 201).shouldBeInstanceOf<Admission.Refused>().reason shouldBe "too-large"
                clusters[0].leaseMs = 0
                limiters[0].admit("w", 1).shouldBeInstanceOf<Admission.Refused>().reason shouldBe "no-lease"
            }
        }

        test("requests that wait are served in the order of their arrival") {
            LimiterFleet(1, record(200.0, 1.0)).use(1_200) {
                val served = Collections.synchronizedList(mutableListOf<Int>())
                coroutineScope {
                    repeat(6) { number ->
                        async { if (limiters[0].admit("w", 1) is Admission.Admitted) served += number }
                        delay(1)
                    }
                }
                served.shouldBeSorted()
                served.size shouldBeGreaterThan 3
            }
        }

        test("a smaller burst of a new snapshot applies at once") {
            LimiterFleet(1, record(10.0, 10.0)).use(2_500) {
                snapshots.replace(Snapshot(2, workspaces = mapOf("w" to record(0.1, 2.0))))
                val answers = (1..5).map { limiters[0].admit("w", 1) }
                answers.count { it is Admission.Admitted } shouldBe 2
                limiters[0].dump().single().requestCapacity shouldBe 2.0
            }
        }
    })
