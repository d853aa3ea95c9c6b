/*
 * Ratios between two runs of the same trace.
 */
package io.skylarkstile.bench.report

/** Values of one measure in two runs. */
data class ComparisonLine(
    val measure: String,
    val first: Double,
    val second: Double,
) {
    /** The second value divided by the first; `null` when the first is zero. */
    val ratioOrNull: Double? get() = if (first == 0.0) null else second / first
}

/** Compares two runs measure by measure; the result is meaningful only when [haveSameTrace] accepts the runs. */
fun compareRuns(
    first: Summary,
    second: Summary,
): List<ComparisonLine> = listOf(
    ComparisonLine("complete answers", first.complete.toDouble(), second.complete.toDouble()),
    ComparisonLine("first token p50 ms", first.firstToken.p50, second.firstToken.p50),
    ComparisonLine("first token p95 ms", first.firstToken.p95, second.firstToken.p95),
    ComparisonLine("largest gap p95 ms", first.largestGap.p95, second.largestGap.p95),
    ComparisonLine("loads", first.fleet.loads.toDouble(), second.fleet.loads.toDouble()),
    ComparisonLine("stalled requests", first.fleet.stalledRequests.toDouble(), second.fleet.stalledRequests.toDouble()),
    ComparisonLine("batch efficiency", first.fleet.batchEfficiency, second.fleet.batchEfficiency),
    ComparisonLine("worst served share", first.worstServedShare, second.worstServedShare),
    ComparisonLine("refused within rate", first.refusedWithinRateShare, second.refusedWithinRateShare),
    ComparisonLine(
        "platform calls/s/instance",
        first.fleet.platformCallsPerInstanceSecond,
        second.fleet.platformCallsPerInstanceSecond,
    ),
)

/** Returns whether the two runs used the same trace: the same profile, scenario, seed and duration. */
fun haveSameTrace(
    first: Summary,
    second: Summary,
): Boolean = first.profile == second.profile &&
    first.scenario == second.scenario &&
    first.seed == second.seed &&
    first.durationMs == second.durationMs
