/*
 * Decides whether calls with one shared prompt part are refused, from the crashes that it may have caused and the calls that succeeded with it.
 */
package io.skylarkstile.gateway.crash

import io.skylarkstile.schema.generated.PartVerdict
import kotlin.math.pow

/** Number of crashes from which instances report their successful calls with a part. */
private const val SUSPECTED_CRASHES = 2

/** Smallest number of crashes that blocks a part, and the number that does so however likely it is to be chance. */
internal const val BLOCKING_CRASHES = 3
private const val CERTAIN_CRASHES = 6

/** Probability of chance below which crashes block a part; thousands of parts may be in use. */
private const val MAX_CHANCE = 1e-5

/** Time in seconds during which a call accuses its parts if its target crashes: until a second after its response began. */
private const val EXPOSURE_S = 1.5

/** Number of successes before the first crash that show that a part was sound, and the further crashes that it then takes to block it. */
private const val SOUND_SUCCESSES = 2
private const val CRASHES_OF_SOUND_PART = 2

/** Time in milliseconds after a part is suspected in which the instances report their successful calls with it. */
internal const val REPORT_WAIT_MS = 150L

/** Time until the first trial call, in milliseconds; it doubles with each further crash, since each trial may cost a target. */
private const val FIRST_BLOCK_MS = 60_000L

/** From this number of crashes on, a trial call is made after [LONGEST_BLOCK_MS] only. */
private const val LAST_TRIAL_CRASHES = 7
internal const val LONGEST_BLOCK_MS = 24 * 60 * 60_000L

/** A part that nobody tries for this long after its block is forgotten, in milliseconds. */
internal const val TRIAL_MS = 600_000L

/** Time for which a release is announced, in milliseconds. */
private const val RELEASE_TTL_MS = 10_000L

/**
 * Describes the crashes of the last [EVIDENCE_WINDOW_MS] as far as they concern one part: [crashes] that no other blocked part explains,
 * the first of them at [firstAt], and [unrelatedCrashes] of targets that had no call with the part, all of [targets] targets.
 */
internal data class PartEvidence(
    val crashes: Int,
    val firstAt: Long?,
    val unrelatedCrashes: Int,
    val targets: Int,
)

/** Holds the state of [part]. All times are those of the instance that counts. Not thread-safe. */
internal class PartRecord(
    private val part: String,
) {
    private class Successes(
        val calls: Int,
        val priorCalls: Int,
        val at: Long,
    )

    /** State of a block: [evidence] is the number of crashes that count for it. */
    private class Block(
        val at: Long,
        val initialEvidence: Int,
        val isAdopted: Boolean,
        var evidence: Int,
        var until: Long,
    )

    private val successes = HashMap<String, Successes>()
    private var suspectedAt: Long? = null
    private var firstCrashAt: Long? = null
    private var block: Block? = null

    /** Number of all crashes counted so far; it orders the verdicts. */
    var totalCrashes = 0

    /** Time after which crashes count as evidence again. */
    var releasedAt = Long.MIN_VALUE
        private set
    val isBlocked: Boolean get() = block != null

    /** Time of the block, after which crashes extend it. */
    val blockedAt: Long? get() = block?.at

    /** Records how many calls the process [reporter] has completed with the part since its first crash, and shortly before. */
    fun setSuccesses(
        reporter: String,
        calls: Int,
        priorCalls: Int,
        now: Long,
    ) {
        successes[reporter] = Successes(calls, priorCalls, now)
    }

    fun successfulCalls(): Int = successes.values.sumOf { it.calls }

    /** Returns whether calls with the part succeeded before the first crash. */
    fun wasSound(): Boolean = successes.values.sumOf { it.priorCalls } >= SOUND_SUCCESSES

    /** Takes over a [verdict] of another instance that counts, made before this one began to count. */
    fun adopt(
        verdict: PartVerdict,
        now: Long,
    ) {
        totalCrashes = maxOf(totalCrashes, verdict.crashes)
        block = Block(now, BLOCKING_CRASHES, isAdopted = true, BLOCKING_CRASHES, now + verdict.blockedMs)
    }

    /** Releases the part if no crash has been counted beyond the [crashes] known to the instance that found it sound. */
    fun release(
        crashes: Int,
        now: Long,
    ) {
        if (block != null && totalCrashes <= crashes) release(now)
    }

    private fun release(now: Long) {
        block = null
        suspectedAt = null
        releasedAt = now
    }

    /** Decides anew at [now]; [crashesSinceBlock] is the number of crashes after [blockedAt]. */
    fun decide(
        evidence: PartEvidence,
        crashesSinceBlock: Int,
        now: Long,
    ) {
        successes.values.removeIf { now - it.at > EVIDENCE_WINDOW_MS }
        firstCrashAt = evidence.firstAt
        val current = block
        if (current == null) decideBlock(evidence, now) else decideRelease(current, evidence, crashesSinceBlock, now)
    }

    private fun decideBlock(
        evidence: PartEvidence,
        now: Long,
    ) {
        if (evidence.crashes < SUSPECTED_CRASHES || evidence.crashes <= successfulCalls()) {
            suspectedAt = null
            return
        }
        val since = suspectedAt ?: now
        suspectedAt = since
        if (now - since < REPORT_WAIT_MS || !isConvincing(evidence)) return
        block = Block(now, evidence.crashes, isAdopted = false, evidence.crashes, now + blockMs(evidence.crashes))
    }

    /** Returns whether the crashes are unlikely to be chance: all calls are exposed to crashes that have nothing to do with their parts. */
    private fun isConvincing(evidence: PartEvidence): Boolean {
        val crashes = if (wasSound()) evidence.crashes - CRASHES_OF_SOUND_PART else evidence.crashes
        if (evidence.crashes >= CERTAIN_CRASHES) return true
        if (crashes < BLOCKING_CRASHES) return false
        val windowS = EVIDENCE_WINDOW_MS / MS_PER_S
        val crashChance = evidence.unrelatedCrashes * EXPOSURE_S / (maxOf(1, evidence.targets) * windowS)
        return combinations(crashes + successfulCalls(), crashes) * crashChance.pow(crashes) <= MAX_CHANCE
    }

    private fun combinations(
        n: Int,
        k: Int,
    ): Double = (1..k).fold(1.0) { product, i -> product * (n - k + i) / i }

    private fun decideRelease(
        current: Block,
        evidence: PartEvidence,
        crashesSinceBlock: Int,
        now: Long,
    ) {
        val crashes = current.initialEvidence + crashesSinceBlock
        if (crashes > current.evidence) {
            current.evidence = crashes
            current.until = now + blockMs(crashes)
        }
        // Another part that is blocked since may explain the crashes.
        val isExplained = !current.isAdopted && now - current.at < REVIEW_MS && evidence.crashes < SUSPECTED_CRASHES
        // Calls that were running when the part was blocked may still succeed.
        if (isExplained || successfulCalls() >= current.evidence || now > current.until + TRIAL_MS) release(now)
    }

    private fun blockMs(crashes: Int): Long =
        if (crashes >= LAST_TRIAL_CRASHES) LONGEST_BLOCK_MS else FIRST_BLOCK_MS shl maxOf(0, crashes - BLOCKING_CRASHES)

    /** Returns what all instances have to know, or null when there is nothing. */
    fun verdictOrNull(now: Long): PartVerdict? {
        val current = block
        val state =
            when {
                current != null -> PartVerdict.State.Blocked
                suspectedAt != null -> PartVerdict.State.Suspected
                isRecentlyReleased(now, RELEASE_TTL_MS) -> PartVerdict.State.Released
                else -> return null
            }
        return PartVerdict(part, state, totalCrashes, now - (firstCrashAt ?: now), maxOf(0, (current?.until ?: now) - now))
    }

    /** Returns whether the part was released less than [ttlMs] milliseconds ago. */
    fun isRecentlyReleased(
        now: Long,
        ttlMs: Long,
    ): Boolean = releasedAt != Long.MIN_VALUE && now - releasedAt <= ttlMs

    private companion object {
        const val MS_PER_S = 1_000.0

        /** Time after a block in which its crashes may turn out to be explained by another part, in milliseconds. */
        const val REVIEW_MS = 5_000L
    }
}
