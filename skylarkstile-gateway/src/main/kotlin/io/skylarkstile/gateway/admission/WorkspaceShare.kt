/*
 * Admission of one workspace's calls on one instance. The fleet-wide rate is split by what each instance is asked for, which instances
 * tell each other; no call waits for an answer from a peer. An instance that hears nobody keeps its last share, so that the sum of the
 * shares stays within the rate. Answers a load of one workspace that sends several times its rate.
 *
 * Beside its share, each instance follows the bucket of the whole fleet by what the others say they have admitted. In a small fleet, a call
 * that doesn't fit into the share is admitted while that bucket is well filled: answers a load of a few large calls, which would exhaust
 * the share of the instance they arrive at although the workspace is below its rate. In a large fleet the others hear of it too late for
 * that, so one instance grants the tokens from its view of the bucket, and the share only serves calls that the granting one can't answer.
 */
package io.skylarkstile.gateway.admission

import io.skylarkstile.gateway.model.TokenRate
import kotlin.math.exp
import kotlin.math.max
import kotlin.math.min

/** Time constant of the demand estimate in milliseconds: long enough to smooth single calls, short enough to follow a burst. */
private const val DEMAND_WINDOW_MS = 2_000.0

/** Least part of the rate that is split evenly, so that an instance without recent demand can admit its first calls. */
private const val EVEN_PART = 0.05

/** Part of the tolerated excess that the shares' bursts use; the rest covers instances that restart with a fresh share. */
private const val USED_TOLERANCE = 0.4

/** Part of the tolerated excess that calls beyond the shares may use between two looks at what the others have admitted, over all instances. */
private const val UNTOLD_TOLERANCE = 0.4

/** The excess over a window that the deployment tolerates: [overage] of the rate and burst, and [slack] tokens. */
data class QuotaTolerance(
    val overage: Double,
    val slack: Double,
    val windowMs: Long,
)

/**
 * What an instance knows of the fleet: its number of [instances], whether all of them were heard lately, and whether they tell each other
 * everything directly, so that they hear of admissions at once.
 */
data class FleetKnowledge(
    val instances: Int,
    val isKnown: Boolean,
    val isDirect: Boolean = true,
)

/** What an admission was decided by: this instance's [part] of the rate, its [level] and that of the whole fleet in tokens, null if unknown. */
data class ShareState(
    val part: Double,
    val level: Double,
    val fleetLevel: Double?,
    val beyondShare: Double,
)

/** Decides the admissions of one workspace. Not thread-safe. */
class WorkspaceShare(
    rate: TokenRate,
    startedAt: Long,
    instances: Int,
    var tolerance: QuotaTolerance,
) {
    var rate: TokenRate = rate
        private set
    private var part = 1.0 / max(1, instances)

    /** Tokens that this share can save. Shares fill unevenly, so together they hold some of the tolerated excess on top of the burst. */
    private val capacity: Double get() = (rate.burst + USED_TOLERANCE * excess) * part
    private val excess: Double
        get() = tolerance.overage * (rate.perSecond * tolerance.windowMs / MS_PER_S + rate.burst) + tolerance.slack
    private var level = capacity
    private var levelAt = startedAt
    private var fleetLevel = 0.0
    private var isFleetKnown = false
    private var instances = max(1, instances)

    /** Tokens admitted beyond the share of which the others haven't heard yet. */
    private var beyondShare = 0.0
    private var isDirect = true

    /** Tokens of refused calls that were told when to return, less what has come in since. */
    private var promised = 0.0
    private var promisedAt = startedAt

    /** Tokens admitted since the start of the process. */
    var admitted = 0L
        private set
    private var asked = 0.0
    private var askedAt = startedAt

    /** Applies a changed [rate]; tokens saved under a higher burst are lost. */
    fun change(
        now: Long,
        rate: TokenRate,
    ) {
        refill(now)
        this.rate = rate
        level = min(level, capacity)
    }

    /** Takes [cost] tokens; returns false when this instance's share is used up. A call larger than the share's burst leaves a debt. */
    fun admit(
        now: Long,
        cost: Int,
    ): Boolean {
        count(now, cost)
        refill(now)
        val fits = level >= min(cost.toDouble(), capacity / 2)
        if (!fits && !fitsFleet(cost)) return false
        if (!fits) beyondShare += cost
        level = if (fits) level - cost else max(level - cost, -capacity)
        fleetLevel -= cost
        admitted += cost
        return true
    }

    /** Counts a call of [cost] tokens in the demand; [admit] does so itself. */
    fun count(
        now: Long,
        cost: Int,
    ) {
        asked = demandWeight(now) + cost
        askedAt = now
    }

    /** Notes that another instance has answered for the whole fleet: the share saves nothing while it does, so that both can't be spent. */
    fun answeredElsewhere(now: Long) {
        refill(now)
        level = min(level, 0.0)
    }

    /**
     * Takes [cost] tokens of the whole fleet's bucket for a call on any instance. Returns null when they are granted, else the time in
     * milliseconds after which the call should return. Calls that are refused one after the other get later and later times: together they
     * would otherwise return for the same tokens.
     */
    fun grant(
        now: Long,
        cost: Int,
    ): Long? {
        refill(now)
        promised = max(0.0, promised - (now - promisedAt) / MS_PER_S * rate.perSecond)
        promisedAt = now
        if (fleetLevel >= min(cost.toDouble(), rate.burst)) {
            fleetLevel -= cost
            admitted += cost
            return null
        }
        promised += cost
        val wait = max(promised, cost - fleetLevel) / max(1.0, rate.perSecond) * MS_PER_S
        return min(wait.toLong(), LONGEST_WAIT_MS)
    }

    /** Returns whether the fleet's bucket holds [cost] tokens; one large call is admitted in any case. */
    private fun fitsFleet(cost: Int): Boolean {
        val isWithinTolerance = beyondShare == 0.0 || beyondShare + cost <= UNTOLD_TOLERANCE * excess / instances
        return isDirect && isFleetKnown && fleetLevel >= cost && isWithinTolerance
    }

    /** Returns what the last admission was decided by. */
    fun state() = ShareState(part, level, fleetLevel.takeIf { isFleetKnown }, beyondShare)

    /** Takes note of [tokens] that the other instances have admitted. */
    fun admittedElsewhere(
        now: Long,
        tokens: Long,
    ) {
        refill(now)
        // Sums that leave out a group for a while and contain it again would otherwise stop the workspace for good.
        fleetLevel = (fleetLevel - tokens).coerceIn(-(rate.burst + excess), rate.burst)
    }

    /** Gives back [cost] tokens of a call that did not run. */
    fun refund(
        now: Long,
        cost: Int,
    ) {
        refill(now)
        level = min(level + cost, capacity)
        fleetLevel = min(fleetLevel + cost, rate.burst)
        admitted -= cost
    }

    /** Returns the time in milliseconds after which a call of [cost] tokens is likely to be admitted. */
    fun waitMs(
        now: Long,
        cost: Int,
    ): Long {
        refill(now)
        val missing = min(cost.toDouble(), capacity / 2) - level
        return (max(0.0, missing) / max(1.0, rate.perSecond * part) * MS_PER_S).toLong()
    }

    /** Returns the tokens per second that callers ask of this instance. */
    fun demand(now: Long): Double = demandWeight(now) / DEMAND_WINDOW_MS * MS_PER_S

    /**
     * Splits the rate by the demand of all instances; [elsewhere] are the tokens per second that the other instances of [fleet] were last
     * asked for. What nobody asks for is split evenly.
     */
    fun split(
        now: Long,
        elsewhere: Double,
        fleet: FleetKnowledge,
    ) {
        refill(now)
        // A process that has just started, or missed others, doesn't know what was spent meanwhile: the bucket fills up from empty.
        if (fleet.isDirect && fleet.isKnown && !isFleetKnown) fleetLevel = min(fleetLevel, 0.0)
        isFleetKnown = fleet.isKnown
        isDirect = fleet.isDirect
        instances = max(1, fleet.instances)
        beyondShare = 0.0
        val demand = demand(now)
        val total = demand + elsewhere
        val spare = max(rate.perSecond - total, rate.perSecond * EVEN_PART)
        val before = part
        part = (demand + spare / instances) / (total + spare)
        if (part < before) level *= part / before
        level = min(level, capacity)
    }

    private fun demandWeight(now: Long): Double = asked * exp((askedAt - now) / DEMAND_WINDOW_MS)

    private fun refill(now: Long) {
        level = min(capacity, level + (now - levelAt) / MS_PER_S * rate.perSecond * part)
        fleetLevel = min(rate.burst, fleetLevel + (now - levelAt) / MS_PER_S * rate.perSecond)
        levelAt = now
    }
}

private const val MS_PER_S = 1_000.0

/** Longest time to return, in milliseconds: callers rarely wait longer, and demand changes meanwhile. */
private const val LONGEST_WAIT_MS = 4_000L
