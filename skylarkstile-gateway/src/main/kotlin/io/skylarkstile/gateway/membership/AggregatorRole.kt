/*
 * Decides whether an instance is the aggregator of its group. The first member of the group is; the next ones take over in turn if it is
 * silent or has lost the store while they can read it. Two aggregators at once do no harm: each report is complete and replaces the last.
 */
package io.skylarkstile.gateway.membership

/** Number of members of a group that receive all reports: the aggregator and its first successor. */
const val AGGREGATOR_CANDIDATES = 2

/** Time without reports from an aggregator after which its successor takes over, in milliseconds. */
const val AGGREGATOR_TIMEOUT_MS = 900L

/** Tracks the reports of a group's aggregators and decides for one instance. Not thread-safe. */
class AggregatorRole {
    private class LastReport(
        var at: Long,
        /** Last time at which its view of the store was current. */
        var currentAt: Long,
    )

    private val lastReports = HashMap<Int, LastReport>()
    private var restartedAt = 0L

    /** Discards all reports at [now], because the group has changed. */
    fun reset(now: Long) {
        lastReports.clear()
        restartedAt = now
    }

    /** Records a report from the member at position [rank]; [isCurrent] is true if its view of the store is current. */
    fun receive(
        rank: Int,
        isCurrent: Boolean,
        now: Long,
    ) {
        val report = lastReports.getOrPut(rank) { LastReport(now, restartedAt) }
        report.at = now
        if (isCurrent) report.currentAt = now
    }

    /** Returns whether this instance, at position [rank], is the aggregator; [isCurrent] is true if its view of the store is current. */
    fun isAggregator(
        rank: Int,
        isCurrent: Boolean,
        now: Long,
    ): Boolean {
        val takeoverDelayMs = AGGREGATOR_TIMEOUT_MS * rank
        val earlier = lastReports.filterKeys { it < rank }.values
        val silentMs = now - (earlier.maxOfOrNull { it.at } ?: restartedAt)
        val staleMs = now - (earlier.maxOfOrNull { it.currentAt } ?: restartedAt)
        if (!isCurrent &&
            lastReports.any { (other, it) -> other != rank && now - it.currentAt < AGGREGATOR_TIMEOUT_MS && it.currentAt > restartedAt }
        ) {
            return false
        }
        return silentMs >= takeoverDelayMs || (isCurrent && staleMs >= takeoverDelayMs)
    }

    /**
     * Returns whether this instance should send its state to the member at position [rank]: to the candidates, to members that report as
     * aggregators and, unless this instance aggregates itself, to one more member for each period of silence.
     */
    fun shouldReportTo(
        rank: Int,
        isAggregator: Boolean,
        now: Long,
    ): Boolean {
        val silentMs = now - (lastReports.values.maxOfOrNull { it.at } ?: restartedAt)
        val isReporting = lastReports[rank]?.let { now - it.at <= REPORTING_TTL_MS } ?: false
        val extraMembers = if (isAggregator) 0 else silentMs / AGGREGATOR_TIMEOUT_MS
        return isReporting || rank < AGGREGATOR_CANDIDATES + extraMembers
    }

    private companion object {
        /** Time after its last report for which a member may still be aggregating, in milliseconds. */
        const val REPORTING_TTL_MS = 2 * AGGREGATOR_TIMEOUT_MS
    }
}
