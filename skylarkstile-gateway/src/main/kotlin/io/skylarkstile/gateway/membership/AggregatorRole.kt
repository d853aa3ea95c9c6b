/*
 * Whether an instance aggregates its group. The first of the group does; the next ones step in, one after the other, when it is silent or
 * can't see the store while they can. Two at once do no harm: what they tell is repeated in full and replaces what was told before.
 */
package io.skylarkstile.gateway.membership

/** Members of a group that are ready to aggregate: the one that does, and the next one. */
const val AGGREGATOR_CANDIDATES = 2

/** Silence of an aggregator after which the next one steps in, in milliseconds. */
const val AGGREGATOR_SILENT_MS = 900L

/** Decides for one instance. Not thread-safe. */
class AggregatorRole {
    private class Heard(
        var at: Long,
        /** Last time at which it saw the store. */
        var currentAt: Long,
    )

    private val heard = HashMap<Int, Heard>()
    private var since = 0L

    /** Begins anew at [now], because the group has changed. */
    fun restart(now: Long) {
        heard.clear()
        since = now
    }

    /** Notes a report of the member at position [rank]; [isCurrent] tells whether its view of the store is current. */
    fun hear(
        rank: Int,
        isCurrent: Boolean,
        now: Long,
    ) {
        val known = heard.getOrPut(rank) { Heard(now, since) }
        known.at = now
        if (isCurrent) known.currentAt = now
    }

    /** Returns whether the member at position [rank] aggregates; [isCurrent] tells whether its own view of the store is current. */
    fun isAggregator(
        rank: Int,
        isCurrent: Boolean,
        now: Long,
    ): Boolean {
        val patience = AGGREGATOR_SILENT_MS * rank
        val earlier = heard.filterKeys { it < rank }.values
        val silentMs = now - (earlier.maxOfOrNull { it.at } ?: since)
        val blindMs = now - (earlier.maxOfOrNull { it.currentAt } ?: since)
        if (!isCurrent &&
            heard.any { (other, it) -> other != rank && now - it.currentAt < AGGREGATOR_SILENT_MS && it.currentAt > since }
        ) {
            return false
        }
        return silentMs >= patience || (isCurrent && blindMs >= patience)
    }

    /**
     * Returns whether the member at position [rank] should hear of this instance: the candidates, those that report, and, unless this
     * instance aggregates itself, further ones in turn.
     */
    fun shouldHear(
        rank: Int,
        isAggregator: Boolean,
        now: Long,
    ): Boolean {
        val silentMs = now - (heard.values.maxOfOrNull { it.at } ?: since)
        val isReporting = heard[rank]?.let { now - it.at <= REPORTING_MS } ?: false
        val steps = if (isAggregator) 0 else silentMs / AGGREGATOR_SILENT_MS
        return isReporting || rank < AGGREGATOR_CANDIDATES + steps
    }

    private companion object {
        /** One that has reported within this time may still aggregate, in milliseconds. */
        const val REPORTING_MS = 2 * AGGREGATOR_SILENT_MS
    }
}
