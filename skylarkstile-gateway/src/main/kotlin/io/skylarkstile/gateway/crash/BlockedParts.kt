/*
 * The shared prompt parts whose calls this instance refuses, as decided by the instances that count crashes.
 */
package io.skylarkstile.gateway.crash

import io.skylarkstile.schema.generated.PartTrial
import io.skylarkstile.schema.generated.PartVerdict

/** Time in milliseconds for which a suspicion holds without being repeated. */
private const val SUSPICION_TTL_MS = 3_000L

/** Time in milliseconds in which a trial call ends; then another may be made. */
internal const val TRIAL_CALL_MS = 10_000L

/** Time for which a release and a passed trial are remembered, in milliseconds: longer than instances repeat an earlier verdict. */
private const val RELEASE_TTL_MS = 60_000L

/** Number of parts that are remembered; those that end first are forgotten when there are more. */
private const val MAX_BLOCKS = 1_024

/** Holds the verdicts that this instance has received. Not thread-safe. */
internal class BlockedParts {
    private class Block(
        val crashes: Int,
        val since: Long,
        val until: Long,
        val isReleased: Boolean,
    ) {
        var trialAt: Long? = null
        val endsAt: Long get() = if (isReleased) until + RELEASE_TTL_MS else until + TRIAL_MS
    }

    private class Suspicion(
        val since: Long,
        val endsAt: Long,
    )

    private class PassedTrial(
        val trial: PartTrial,
        val at: Long,
    )

    private val blocks = HashMap<String, Block>()
    private val suspicions = HashMap<String, Suspicion>()
    private val passedTrials = ArrayList<PassedTrial>()

    /** Applies [verdict] and returns whether calls with the part are now refused and weren't before, or the other way round. */
    fun apply(
        verdict: PartVerdict,
        now: Long,
    ): Boolean {
        if (verdict.state == PartVerdict.State.Suspected) {
            suspicions[verdict.part] = Suspicion(now - verdict.sinceMs, now + SUSPICION_TTL_MS)
            return false
        }
        val known = blocks[verdict.part]
        if (known != null && isOlder(verdict, known)) return false
        val isReleased = verdict.state == PartVerdict.State.Released
        val repeated = known?.takeIf { it.crashes == verdict.crashes && !isReleased }
        val until = if (verdict.blockedMs > 0) now + verdict.blockedMs else repeated?.until ?: now
        val block = Block(verdict.crashes, now - verdict.sinceMs, maxOf(until, repeated?.until ?: until), isReleased)
        block.trialAt = repeated?.trialAt
        blocks[verdict.part] = block
        if (blocks.size > MAX_BLOCKS) blocks.minByOrNull { it.value.endsAt }?.let { blocks.remove(it.key) }
        return (known == null || known.isReleased) != isReleased
    }

    private fun isOlder(
        verdict: PartVerdict,
        known: Block,
    ): Boolean {
        if (verdict.crashes != known.crashes) return verdict.crashes < known.crashes
        return known.isReleased
    }

    /**
     * Returns the time until which calls with any of [parts] are refused, or null if they may be sent. Once a block has ended, only the
     * instance that [makesTrials] sends a call, one at a time.
     */
    fun blockedUntilOrNull(
        parts: List<String>,
        now: Long,
        makesTrials: Boolean,
    ): Long? {
        if (blocks.isEmpty()) return null
        return parts.mapNotNull { blocks[it]?.let { block -> blockedUntilOrNull(block, now, makesTrials) } }.maxOrNull()
    }

    private fun blockedUntilOrNull(
        block: Block,
        now: Long,
        makesTrials: Boolean,
    ): Long? {
        if (block.isReleased || now > block.endsAt) return null
        if (now < block.until) return block.until
        val trialAt = block.trialAt
        val hasTrial = trialAt != null && now - trialAt < TRIAL_CALL_MS
        return if (makesTrials && !hasTrial) null else now + TRIAL_CALL_MS
    }

    /** Records that a call with [parts] is sent; with a part whose block has ended, it is a trial. */
    fun callSent(
        parts: List<String>,
        now: Long,
    ) {
        if (blocks.isEmpty()) return
        parts.forEach { part -> blocks[part]?.takeIf { !it.isReleased && now >= it.until }?.trialAt = now }
    }

    /** Records that a call with [parts] has succeeded and returns whether that is to be reported. */
    fun callServed(
        parts: List<String>,
        now: Long,
    ): Boolean {
        if (blocks.isEmpty() && suspicions.isEmpty()) return false
        parts.forEach { part ->
            val block = blocks[part]?.takeIf { it.trialAt != null && !it.isReleased } ?: return@forEach
            block.trialAt = null
            passedTrials.add(PassedTrial(PartTrial(part, block.crashes), now))
        }
        return parts.any { isInQuestion(it, now) }
    }

    private fun isInQuestion(
        part: String,
        now: Long,
    ): Boolean = blocks[part]?.let { !it.isReleased } == true || suspicions[part]?.let { now <= it.endsAt } == true

    /** Returns whether any of [parts] is suspected or blocked, so that a call with it isn't sent again after a crash. */
    fun isSuspected(
        parts: List<String>,
        now: Long,
    ): Boolean = (blocks.isNotEmpty() || suspicions.isNotEmpty()) && parts.any { isInQuestion(it, now) }

    /** Returns the parts whose successful calls are to be reported, with the time from which these count. */
    fun partsInQuestion(now: Long): Map<String, Long> {
        removeExpired(now)
        return suspicions.mapValues { it.value.since } + blocks.filterValues { !it.isReleased }.mapValues { it.value.since }
    }

    /** Forgets what has ended. */
    fun removeExpired(now: Long) {
        suspicions.values.removeIf { now > it.endsAt }
        blocks.values.removeIf { now > it.endsAt }
    }

    /** Returns the trials that have passed lately. */
    fun passedTrials(now: Long): List<PartTrial> {
        passedTrials.removeIf { now - it.at > RELEASE_TTL_MS }
        return passedTrials.map { it.trial }
    }

    /** Returns the blocks as verdicts, for an instance that begins to count crashes. */
    fun verdicts(now: Long): List<PartVerdict> = blocks.filterValues { !it.isReleased && now <= it.endsAt }.map { (part, block) ->
        PartVerdict(part, PartVerdict.State.Blocked, block.crashes, now - block.since, maxOf(0, block.until - now))
    }
}
