/*
 * The calls of one key range: the known keys, the attempts that wait for the outcome of each, and the changes still to be recorded.
 */
package io.skylarkstile.core.ledger

import io.skylarkstile.schema.generated.LedgerEntry
import java.util.Base64

/** Decides the replies to attempts. [dirty] holds the keys whose state is still to be recorded, in order of arrival. */
internal class LedgerCalls(
    private val limits: LedgerLimits,
) {
    /** Known keys, roughly oldest first. */
    private val known = LinkedHashMap<String, KnownKey>()
    private val dirtyKeys = LinkedHashMap<String, KnownKey>()
    private val effects = mutableListOf<LedgerEffect>()

    val dirty: Collection<KnownKey> get() = dirtyKeys.values
    val size: Int get() = known.size

    /** Number of keys whose intent is not recorded yet. */
    val waiting: Int get() = dirtyKeys.values.count { it.state == KeyState.WAITING }

    /** Returns the effects since the last call. */
    fun takeEffects(): List<LedgerEffect> = effects.toList().also { effects.clear() }

    /** Adds the entries of a segment; a later segment overrides an earlier one. */
    fun load(entries: List<LedgerEntry>) = entries.forEach {
        known.remove(it.key)
        known[it.key] = it.toKnownKey()
    }

    /** Starts, joins or answers the call of [key] for [attempt]. */
    fun call(
        wallMs: Long,
        attempt: Long,
        key: String,
        bodyHash: String,
    ) {
        val found = known[key]
        when {
            found == null -> begin(KnownKey(key, bodyHash, wallMs, KeyState.WAITING), attempt)
            found.state == KeyState.NOT_RUN -> begin(found.restarted(wallMs, bodyHash), attempt)
            found.bodyHash != bodyHash -> answer(attempt, LedgerReply.Mismatch)
            found.state == KeyState.DONE -> answer(attempt, found.replay())
            found.state == KeyState.UNKNOWN -> answer(attempt, LedgerReply.Unknown("an earlier call with this key has no recorded outcome"))
            else -> found.attempts.addLast(attempt)
        }
    }

    /** Applies the result of the call of [key] and answers all attempts that wait for it. */
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

    /** Returns the reply to an attempt that stops waiting, or `null` when it has been answered. */
    fun giveUpOrNull(
        attempt: Long,
        key: String,
    ): LedgerReply? {
        val found = known[key] ?: return null
        if (!found.attempts.remove(attempt)) return null
        // A waiting key without attempts never runs, see onIntentsRecorded. With other attempts it may run, and they share one outcome.
        val neverRuns = found.state == KeyState.WAITING && found.attempts.isEmpty()
        if (neverRuns) return LedgerReply.NotRun("deadline", "the intent was not recorded in time")
        return LedgerReply.Unknown("the call had no outcome within its deadline")
    }

    /** Marks [batch] as being written. A change of a key during the write makes it dirty again. */
    fun markWriting(batch: List<KnownKey>) = batch.forEach { dirtyKeys.remove(it.key) }

    /** Starts the calls of the keys in [written], whose intents are now recorded, except where no attempt waits any more. */
    fun onIntentsRecorded(written: List<KnownKey>) {
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

    /** Puts [batch] back in front of the keys to be recorded, after a write that failed. */
    fun requeue(batch: List<KnownKey>) {
        val later = dirtyKeys.values.toList()
        dirtyKeys.clear()
        (batch + later).forEach { dirtyKeys[it.key] = it }
    }

    /** Answers `not-run` to the attempts of all [dirty] keys whose intent is not recorded. None of them was sent to the service. */
    fun refuseWaiting(refusal: LedgerReply.NotRun) = dirtyKeys.values.filter { it.state == KeyState.WAITING }.forEach { key ->
        key.end(KeyState.NOT_RUN, refusal, record = false)
        dirtyKeys.remove(key.key)
    }

    /** Drops ended keys older than the retention time, at most the oldest [MAX_EXPIRED_PER_COMMIT]. */
    fun expire(wallMs: Long) {
        val oldest = known.values.asSequence().take(MAX_EXPIRED_PER_COMMIT)
        val ended = oldest.takeWhile { it.at + limits.retentionMs < wallMs && it.isEnded() }.map { it.key }.toList()
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
        wallMs: Long,
        hash: String,
    ) = also {
        it.bodyHash = hash
        it.at = wallMs
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
        const val MAX_EXPIRED_PER_COMMIT = 100
    }
}
