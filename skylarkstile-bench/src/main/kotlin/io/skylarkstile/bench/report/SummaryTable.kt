/*
 * Formats the measures of one run as text, with the goals from section 1.3 of the design page.
 */
package io.skylarkstile.bench.report

/** Returns the lines of `summary.txt`; counters of the fleet are left out for a run that did not start a fleet. */
fun tableOf(summary: Summary): List<String> {
    val fleet = summary.fleet
    val header = "${summary.profile} ${summary.scenario} ${summary.policy}, seed ${summary.seed}, ${summary.durationMs / MS_PER_SECOND} s"
    val common =
        listOf(
            "requests" to "${summary.requests}, complete ${summary.complete}, ends ${summary.ends}, codes ${summary.codes}",
            "first token ms" to
                "p50 %.0f, p95 %.0f, p99 %.0f".format(summary.firstToken.p50, summary.firstToken.p95, summary.firstToken.p99),
            "refused within rate" to "%.4f (goal 0.001 or less; 0.005 through loss or outage)".format(summary.refusedWithinRateShare),
            "worst served share" to "%.3f (goal 0.97 or more)".format(summary.worstServedShare),
        )
    val fleetMeasures =
        listOf(
            "load stalls" to
                "%.4f of %d started, offline bound %.4f, ratio %.2f (goal 1.25 or less)".format(
                    fleet.stalledShare,
                    fleet.startedRequests,
                    summary.leastStalledShare,
                    if (summary.leastStalledShare > 0) fleet.stalledShare / summary.leastStalledShare else 0.0,
                ),
            "time waited for loads" to "mean %.0f ms, longest %.0f ms".format(fleet.meanStallMs, fleet.longestStallMs),
            "loads" to "${fleet.loads}, offline bound ${summary.leastLoads}",
            "batch efficiency" to "%.3f (goal 0.90 or more), %.2f tokens per step".format(fleet.batchEfficiency, fleet.tokensPerStep),
            "evictions in use" to "${fleet.evictionsInUse}",
            "platform calls/s/instance" to "%.2f".format(fleet.platformCallsPerInstanceSecond),
        )
    return listOf(header) +
        (common + if (fleet.startedRequests > 0) fleetMeasures else emptyList()).map { (name, text) -> "%-26s %s".format(name, text) } +
        workspaceLines(summary) + instanceLines(fleet)
}

private fun workspaceLines(summary: Summary): List<String> =
    listOf("", "%-12s %9s %9s %9s %9s %12s %9s".format("workspace", "requests", "allowed", "complete", "served", "refused", "p95 ms")) +
        summary.workspaces.toSortedMap().map { (name, workspace) ->
            "%-12s %9d %9d %9d %9.3f %12d %9.0f".format(
                name,
                workspace.requests,
                workspace.withinRate,
                workspace.complete,
                workspace.servedShare,
                workspace.refusedWithinRate,
                workspace.firstToken.p95,
            )
        }

private fun instanceLines(fleet: FleetCounts): List<String> {
    if (fleet.instances.isEmpty()) return emptyList()
    val header = "%-12s %11s %9s %9s %13s %9s".format("instance", "idle core %", "core %", "RSS MiB", "idle sent B/s", "sent B/s")
    return listOf("", header) +
        fleet.instances.toSortedMap().map { (name, cost) ->
            "%-12s %11.2f %9.2f %9.0f %13.0f %9.0f".format(
                name,
                cost.idleCorePercent,
                cost.corePercent,
                cost.residentMiB,
                cost.idleSentBytesPerSecond,
                cost.sentBytesPerSecond,
            )
        }
}

private const val MS_PER_SECOND = 1_000
