/*
 * Computes the measures of one run.
 */
package io.skylarkstile.bench.report

import io.skylarkstile.bench.load.CallEnd
import io.skylarkstile.bench.load.CallRecord
import io.skylarkstile.bench.trace.IdealQuota
import io.skylarkstile.bench.trace.QuotaLimits
import io.skylarkstile.bench.trace.Trace
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** Percentiles in milliseconds. */
@Serializable
data class Percentiles(
    val p50: Double,
    val p95: Double,
    val p99: Double,
)

/** Measures of one workspace; [servedShare] is the number of complete responses divided by the requests that its rate allows. */
@Serializable
data class WorkspaceSummary(
    val requests: Int,
    val withinRate: Int,
    val complete: Int,
    val servedShare: Double,
    /** Number by which the accepted requests fall short of [withinRate]; refusals for any reason count. */
    val refusedWithinRate: Int,
    val firstToken: Percentiles,
)

/**
 * Resource usage of one entry instance: processor time in percent of a core, resident memory at the end, and bytes written per second. The
 * idle values are measured before the first request, when all traffic is control traffic.
 */
@Serializable
data class InstanceCost(
    val idleCorePercent: Double,
    val corePercent: Double,
    val residentMiB: Double,
    val idleSentBytesPerSecond: Double,
    val sentBytesPerSecond: Double,
)

/** Counters of the fleet's processes for one run. */
@Serializable
data class FleetCounts(
    val loads: Int = 0,
    /** Requests that started at an engine, including resumptions and retries. */
    val startedRequests: Int = 0,
    val stalledRequests: Int = 0,
    val stalledShare: Double = 0.0,
    val meanStallMs: Double = 0.0,
    val longestStallMs: Double = 0.0,
    /** Generated tokens divided by the maximum that the requests present in the engines allowed. */
    val batchEfficiency: Double = 0.0,
    val tokensPerStep: Double = 0.0,
    val evictionsInUse: Int = 0,
    val platformCallsPerInstanceSecond: Double = 0.0,
    /** Usage by instance name, of the instances whose process ran from start to end. */
    val instances: Map<String, InstanceCost> = emptyMap(),
)

/** The measures of one run; the content of `summary.json`. Shares are fractions of 1. */
@Serializable
data class Summary(
    val profile: String,
    val scenario: String,
    val policy: String,
    val seed: Long,
    val durationMs: Long,
    val requests: Int,
    val complete: Int,
    val ends: Map<String, Int>,
    val codes: Map<String, Int>,
    val firstToken: Percentiles,
    val largestGap: Percentiles,
    val refusedWithinRateShare: Double,
    val worstServedShare: Double,
    val leastLoads: Int,
    /** [leastLoads] divided by the requests: the minimum share of requests that wait for a load. */
    val leastStalledShare: Double = 0.0,
    val fleet: FleetCounts,
    val workspaces: Map<String, WorkspaceSummary>,
)

/** Computes the measures of a run. [limits] holds the quota limits by workspace; [leastLoads] is the offline bound on loads. */
fun summarize(
    trace: Trace,
    records: List<CallRecord>,
    policy: String,
    limits: Map<String, QuotaLimits>,
    leastLoads: Int,
    fleet: FleetCounts = FleetCounts(),
): Summary {
    val workspaces = records.groupBy { it.arrival.workspace }.mapValues { (name, own) -> summarizeWorkspace(own, limits.getValue(name)) }
    val within = workspaces.values.sumOf { it.withinRate }
    return Summary(
        profile = trace.profile.name,
        scenario = trace.scenario.text,
        policy = policy,
        seed = trace.seed,
        durationMs = trace.durationMs,
        requests = records.size,
        complete = records.count { it.end == CallEnd.Complete },
        ends = records.groupingBy { it.end.name }.eachCount(),
        codes = records.mapNotNull { it.code }.groupingBy { it }.eachCount(),
        firstToken = percentiles(records.mapNotNull { it.firstTokenMs }),
        largestGap = percentiles(records.filter { it.tokens > 1 }.map { it.largestGapMs }),
        refusedWithinRateShare = if (within == 0) 0.0 else workspaces.values.sumOf { it.refusedWithinRate } / within.toDouble(),
        worstServedShare = workspaces.values.minOfOrNull { it.servedShare } ?: 0.0,
        leastLoads = leastLoads,
        leastStalledShare = if (records.isEmpty()) 0.0 else leastLoads / records.size.toDouble(),
        fleet = fleet,
        workspaces = workspaces,
    )
}

private fun summarizeWorkspace(
    records: List<CallRecord>,
    limits: QuotaLimits,
): WorkspaceSummary {
    val ideal = IdealQuota(limits)
    val allowed = records.sortedBy { it.arrival.atMs }.filter { ideal.admits(it.arrival.atMs, it.arrival.maxTokens) }
    val complete = records.count { it.end == CallEnd.Complete }
    return WorkspaceSummary(
        requests = records.size,
        withinRate = allowed.size,
        complete = complete,
        servedShare = if (allowed.isEmpty()) 1.0 else minOf(1.0, complete / allowed.size.toDouble()),
        refusedWithinRate = maxOf(0, allowed.size - records.count { it.end != CallEnd.Refused && it.end != CallEnd.NotRun }),
        firstToken = percentiles(records.mapNotNull { it.firstTokenMs }),
    )
}

/** Returns the percentiles of [values] (milliseconds), computed with 3 significant digits; all are 0 when [values] is empty. */
fun percentiles(values: List<Double>): Percentiles {
    if (values.isEmpty()) return Percentiles(0.0, 0.0, 0.0)
    val histogram = Histogram(HISTOGRAM_DIGITS)
    values.forEach { histogram.recordValue((it * MICROS_PER_MS).toLong().coerceAtLeast(0)) }

    fun at(percentile: Double) = histogram.getValueAtPercentile(percentile) / MICROS_PER_MS
    return Percentiles(at(50.0), at(95.0), at(99.0))
}

private const val HISTOGRAM_DIGITS = 3
private const val MICROS_PER_MS = 1_000.0
