/*
 * The calls of one key range: which keys are known, who waits for which outcome, and what is still to be recorded.
 */
package io.skylarkstile.core.ledger

import io.skylarkstile.schema.generated.LedgerEntry
import java.util.Base64

/** Decides the answers to attempts. Keys to be recorded are in [dirty], in order of arrival. */
internal class LedgerCalls(
    private val limits: LedgerLimits,
) {
    private val known = LinkedHashMap<String, KnownKey>()
    private val dirtyKeys = LinkedHashMap<String, KnownKey>()
    private val effects = mutableListOf<LedgerEffect>()

    val dirty: Collection<KnownKey> get() = dirtyKeys.values
    val size: Int get() = known.size
    val waiting: Int get() = dirtyKeys.values.count { it.state == KeyState.WAITING }

    fun takeEffects(): List<LedgerEffect> = effects.toList().also { effects.clear() }

    /** Adds the entries of a segment; a later segment overrides an earlier one. */
    fun load(entries: List<LedgerEntry>) = entries.forEach {
        known.remove(it.key)
        known[it.key] = it.known()
    }

    fun call(
        wall: Long,
        attempt: Long,
        key: String,
        bodyHash: String,
    ) {
        val found = known[key]
        when {
            found == null -> begin(KnownKey(key, bodyHash, wall, KeyState.WAITING), attempt)
            found.state == KeyState.NOT_RUN -> begin(found.restarted(wall, bodyHash), attempt)
            found.bodyHash != bodyHash -> answer(attempt, LedgerReply.Mismatch)
            found.state == KeyState.DONE -> answer(attempt, found.replay())
            found.state == KeyState.UNKNOWN -> answer(attempt, LedgerReply.Unknown("an earlier call with this key has no recorded outcome"))
            else -> found.attempts.addLast(attempt)
        }
    }

    /** Records the result of the call of [key] and answers all attempts that wait for it. */
    fun ran(
        key: String,
        result: RunResult,
    ) {
        val found = known[key]?.takeIf { it.state == KeyState.RUNNING } ?: return
        when (result) {
            is RunResult.Answered -> found.done(result)
            is RunResult.NotSent -> found.end(KeyState.NOT_RUN, LedgerReply.NotRun("not-sent", result.detail), record = true)
            is RunResult.NoAnswer -> found.end(KeyState.UNKNOWN, LedgerReply.Unknown(result.detail), record = false)
        }
    }

    /** Returns the reply for an attempt that stops waiting, or `null` when it was answered before. */
    fun giveUpOrNull(
        attempt: Long,
        key: String,
    ): LedgerReply? {
        val found = known[key] ?: return null
        if (!found.attempts.remove(attempt)) return null
        // Without attempts a waiting key is never run, see confirmed; with others the key may run and this attempt shares its outcome.
        val neverRuns = found.state == KeyState.WAITING && found.attempts.isEmpty()
        if (neverRuns) return LedgerReply.NotRun("deadline", "the intent was not recorded in time")
        return LedgerReply.Unknown("the call had no outcome within its deadline")
    }

    /** Notes that [batch] is being written; a change during the write makes a key dirty again. */
    fun writing(batch: List<KnownKey>) = batch.forEach { dirtyKeys.remove(it.key) }

    /** Starts the calls whose intents are recorded in [written]. */
    fun confirmed(written: List<KnownKey>) {
        for (key in written) {
            if (key.state != KeyState.WAITING) continue
            if (key.attempts.isEmpty()) {
                key.end(KeyState.NOT_RUN, null, record = true)
            } else {
                key.state = KeyState.RUNNING
                effects += LedgerEffect.Run(key.key, key.attempts.first())
            }
        }
    }

    /** Puts [batch] back to the front of the keys to be recorded. */
    fun requeue(batch: List<KnownKey>) {
        val later = dirtyKeys.values.toList()
        dirtyKeys.clear()
        (batch + later).forEach { dirtyKeys[it.key] = it }
    }

    /** Answers `not-run` to every attempt in [dirty] whose intent is not confirmed. None of them was sent to the service. */
    fun refuseWaiting(refusal: LedgerReply.NotRun) = dirtyKeys.values.filter { it.state == KeyState.WAITING }.forEach { key ->
        key.end(KeyState.NOT_RUN, refusal, record = false)
        dirtyKeys.remove(key.key)
    }

    /** Forgets ended keys older than the retention, at most [EXPIRE_AT_ONCE] of the oldest. */
    fun expire(wall: Long) {
        val oldest = known.values.asSequence().take(EXPIRE_AT_ONCE)
        val ended = oldest.takeWhile { it.at + limits.retentionMs < wall && it.isEnded() }.map { it.key }.toList()
        ended.forEach { known.remove(it) }
    }

    fun refuse(
        attempt: Long,
        refusal: LedgerReply.NotRun,
    ) = answer(attempt, refusal)

    private fun begin(
        key: KnownKey,
        attempt: Long,
    ) {
        key.attempts.addLast(attempt)
        known[key.key] = key
        dirtyKeys[key.key] = key
    }

    private fun KnownKey.restarted(
        wall: Long,
        hash: String,
    ) = also {
        it.bodyHash = hash
        it.at = wall
        it.state = KeyState.WAITING
    }

    private fun KnownKey.done(result: RunResult.Answered) {
        state = KeyState.DONE
        status = result.status
        contentType = result.contentType
        body = result.body.takeIf { it.size <= limits.bodyBytes }?.let { Base64.getEncoder().encodeToString(it) }
        dirtyKeys[key] = this
        attempts.forEachIndexed { i, attempt ->
            answer(attempt, LedgerReply.Done(result.status, result.contentType, result.body, replayed = i > 0))
        }
        attempts.clear()
    }

    private fun KnownKey.replay() = LedgerReply.Done(
        status ?: 0,
        contentType ?: "",
        body?.let {
            Base64.getDecoder().decode(it)
        },
        replayed = true,
    )

    private fun KnownKey.end(
        ended: KeyState,
        reply: LedgerReply?,
        record: Boolean,
    ) {
        state = ended
        if (record) dirtyKeys[key] = this
        if (reply != null) attempts.forEach { answer(it, reply) }
        attempts.clear()
    }

    private fun KnownKey.isEnded() = state != KeyState.WAITING && state != KeyState.RUNNING && key !in dirtyKeys

    private fun answer(
        attempt: Long,
        reply: LedgerReply,
    ) {
        effects += LedgerEffect.Answer(attempt, reply)
    }

    private companion object {
        const val EXPIRE_AT_ONCE = 100
    }
}
