/*
 * One key range of the ledger at one owner: takeover, group commit, re-reading after a lost answer, and the change to the next segment.
 *
 * Since each call is recorded before it is made, fencing the writes of a previous owner keeps it from making calls. A takeover raises the
 * epoch in the head, seals the last segment and creates the next one for itself. A previous owner can only write to its last segment, which
 * conflicts once that is sealed, or create the one after it. If that creation comes first, the takeover finds the segment, loads it and
 * seals it too. All writes are conditional on the version last seen.
 */
package io.skylarkstile.core.ledger

import io.skylarkstile.schema.generated.LedgerEntry
import io.skylarkstile.schema.generated.LedgerHead
import io.skylarkstile.schema.generated.LedgerSegment

/**
 * Runs the protocol of one range without I/O: the caller carries out the operations and effects that it returns. It is not thread-safe.
 * `now` is monotonic milliseconds; `wallMs` is the time of day in milliseconds and is used for retention only. [writeIdPrefix] must be
 * unique to this object, since it distinguishes its writes from those of other owners.
 */
class LedgerRange(
    private val owner: String,
    private val epoch: Long,
    private val writeIdPrefix: String,
    private val limits: LedgerLimits = LedgerLimits(),
) {
    /** What the next operation is for, or [Fenced] when there is none any more. */
    private sealed interface Step {
        data object ReadHead : Step

        data class Load(
            val number: Long,
        ) : Step

        data object ClaimHead : Step

        data object SealSegment : Step

        data object CreateSegment : Step

        data object Serve : Step

        data object RecheckSegment : Step

        data object AdvanceHead : Step

        data object RecheckHead : Step

        data object Fenced : Step
    }

    private class LoadedSegment(
        val number: Long,
        val segment: LedgerSegment,
        val version: Long,
    )

    private class Write(
        val id: String,
        val batch: List<KnownKey>,
        val entries: List<LedgerEntry>,
    ) {
        /**
         * Keys whose intents this write records. A key that the batch records as `not-run` may be called again during the write; the new
         * intent is only recorded by the next write.
         */
        val intents = batch.filter { it.state == KeyState.WAITING }
    }

    private val calls = LedgerCalls(limits)

    /** Key and body hash of the calls that arrived before the range was ready, by attempt. */
    private val callsBeforeServing = LinkedHashMap<Long, Pair<String, String>>()

    /** Time of day of the newest entry of each earlier segment, by segment number. */
    private val newestAt = sortedMapOf<Long, Long>()

    /** Numbers of the segments to delete. */
    private val deletions = ArrayDeque<Long>()
    private var step: Step = Step.ReadHead
    private var pending: LedgerOp? = null

    /** Earliest time of the next operation. */
    private var notBefore = Long.MIN_VALUE
    private var headVersion = 0L
    private var firstSegment = 1L
    private var nextSegment = 1L
    private var lastLoaded: LoadedSegment? = null
    private var buffer = LedgerSegmentBuffer(0, 0)
    private var write: Write? = null
    private var writeCount = 0L

    /** Set while an abandoned write may have recorded intents that were answered `not-run`. The next commit removes them. */
    private var mayHoldRefusedIntents = false

    val isFenced: Boolean get() = step == Step.Fenced
    val isServing: Boolean get() = step == Step.Serve

    /** Whether [nextOp] returns an operation now or will do so without a further call. */
    val hasWork: Boolean get() = step != Step.Serve || calls.dirty.isNotEmpty() || mayHoldRefusedIntents || deletions.isNotEmpty()
    val keys: Int get() = calls.size
    val waiting: Int get() = calls.waiting + callsBeforeServing.size

    /** Adds [attempt] of a call with [key]. Its effects are returned by this function or by a later one. */
    fun call(
        wallMs: Long,
        attempt: Long,
        key: String,
        bodyHash: String,
    ): List<LedgerEffect> {
        when {
            isFenced -> calls.refuse(attempt, notOwner("the range has another owner"))
            buffer.number == 0L -> callsBeforeServing[attempt] = key to bodyHash
            else -> calls.call(wallMs, attempt, key, bodyHash)
        }
        return calls.takeEffects()
    }

    /** Takes the result of a call that was requested by [LedgerEffect.Run]. */
    fun ran(
        key: String,
        result: RunResult,
    ): List<LedgerEffect> {
        calls.ran(key, result)
        return calls.takeEffects()
    }

    /** Returns the reply to an attempt whose deadline has passed, or `null` when it has been answered. */
    fun giveUpOrNull(
        attempt: Long,
        key: String,
    ): LedgerReply? {
        if (callsBeforeServing.remove(attempt) != null) return LedgerReply.NotRun("deadline", "the range was not ready in time")
        return calls.giveUpOrNull(attempt, key)
    }

    /** Stops starting calls, because another instance becomes the owner. Running calls end normally. */
    fun release(): List<LedgerEffect> {
        stop("the range moves to another owner")
        return calls.takeEffects()
    }

    /** Returns the operation to carry out next, or `null` when none is due at [now] or one is in progress. */
    fun nextOp(
        now: Long,
        wallMs: Long,
    ): LedgerOp? {
        if (pending != null || now < notBefore) return null
        val op = operation(wallMs) ?: return null
        if (op !is LedgerOp.ReadHead && op !is LedgerOp.ReadSegment) notBefore = now + limits.commitIntervalMs
        pending = op
        return op
    }

    /** Takes the result of the operation that [nextOp] returned last. */
    fun completed(
        now: Long,
        wallMs: Long,
        result: LedgerOpResult,
    ): List<LedgerEffect> {
        val op = pending ?: return emptyList()
        pending = null
        if (op !is LedgerOp.DeleteSegment && !isFenced) advance(now, wallMs, result)
        return calls.takeEffects()
    }

    private fun operation(wallMs: Long): LedgerOp? = when (val s = step) {
        Step.ReadHead, Step.RecheckHead -> LedgerOp.ReadHead
        is Step.Load -> LedgerOp.ReadSegment(s.number)
        Step.ClaimHead -> LedgerOp.WriteHead(LedgerHead(epoch, owner, firstSegment, nextSegment), headVersion)
        Step.SealSegment -> lastLoaded!!.let { LedgerOp.WriteSegment(it.number, sealed(it.segment), it.version) }
        Step.CreateSegment -> LedgerOp.WriteSegment(nextSegment, LedgerSegment(epoch, newWriteId(), false, emptyList()), 0)
        Step.Serve -> commit(wallMs)
        Step.AdvanceHead -> LedgerOp.WriteHead(LedgerHead(epoch, owner, firstRetainedSegment(wallMs), buffer.number + 1), headVersion)
        Step.RecheckSegment -> LedgerOp.ReadSegment(buffer.number)
        Step.Fenced -> null
    }

    private fun commit(wallMs: Long): LedgerOp? {
        calls.expire(wallMs)
        if (calls.dirty.isEmpty() && !mayHoldRefusedIntents) return deletions.removeFirstOrNull()?.let { LedgerOp.DeleteSegment(it) }
        if (buffer.isFull(limits) && !mayHoldRefusedIntents) {
            step = Step.AdvanceHead
            return operation(wallMs)
        }
        val batch = buffer.batch(calls.dirty, limits)
        val next = Write(newWriteId(), batch, buffer.with(batch))
        calls.markWriting(batch)
        write = next
        return LedgerOp.WriteSegment(buffer.number, LedgerSegment(epoch, next.id, false, next.entries), buffer.version)
    }

    private fun advance(
        now: Long,
        wallMs: Long,
        result: LedgerOpResult,
    ) {
        when (val s = step) {
            Step.ReadHead -> onHeadRead(now, result)
            is Step.Load -> onSegmentLoaded(now, wallMs, s.number, result)
            Step.ClaimHead -> onHeadClaimed(now, result)
            Step.SealSegment -> onSegmentSealed(now, result)
            Step.CreateSegment -> onSegmentCreated(now, wallMs, result)
            Step.Serve -> onCommitted(now, result)
            Step.RecheckSegment -> onSegmentRechecked(now, result)
            Step.AdvanceHead -> if (result is LedgerOpResult.Written) startNextSegment(result.version) else step = Step.RecheckHead
            Step.RecheckHead -> onHeadRechecked(now, result)
            Step.Fenced -> Unit
        }
    }

    private fun onHeadRead(
        now: Long,
        result: LedgerOpResult,
    ) {
        if (result !is LedgerOpResult.Head) return postpone(now)
        if (hasOtherOwner(result.head)) return stop("the range has a newer owner")
        headVersion = result.version
        firstSegment = result.head?.firstSegment ?: 1
        lastLoaded = null
        step = Step.Load(firstSegment)
    }

    private fun onSegmentLoaded(
        now: Long,
        wallMs: Long,
        number: Long,
        result: LedgerOpResult,
    ) {
        if (result !is LedgerOpResult.Segment) return postpone(now)
        val segment = result.segment
        when {
            segment == null -> {
                nextSegment = number
                step = Step.ClaimHead
            }
            segment.epoch > epoch -> stop("the range has a newer owner")
            isOwn(segment) && !segment.sealed -> serve(wallMs, number, result.version)
            else -> {
                calls.load(segment.propertyEntries)
                newestAt[number] = segment.propertyEntries.maxOfOrNull { it.at } ?: 0
                lastLoaded = LoadedSegment(number, segment, result.version)
                step = Step.Load(number + 1)
            }
        }
    }

    private fun onHeadClaimed(
        now: Long,
        result: LedgerOpResult,
    ) {
        if (result !is LedgerOpResult.Written) return restart(now, result, Step.ReadHead)
        headVersion = result.version
        step = if (lastLoaded?.segment?.sealed == false) Step.SealSegment else Step.CreateSegment
    }

    private fun onSegmentSealed(
        now: Long,
        result: LedgerOpResult,
    ) = if (result is LedgerOpResult.Written) step = Step.CreateSegment else restart(now, result, Step.Load(lastLoaded!!.number))

    private fun onSegmentCreated(
        now: Long,
        wallMs: Long,
        result: LedgerOpResult,
    ) = if (result is LedgerOpResult.Written) serve(wallMs, nextSegment, result.version) else restart(now, result, Step.Load(nextSegment))

    private fun serve(
        wallMs: Long,
        number: Long,
        version: Long,
    ) {
        buffer = LedgerSegmentBuffer(number, version)
        step = Step.Serve
        callsBeforeServing.forEach { (attempt, call) -> calls.call(wallMs, attempt, call.first, call.second) }
        callsBeforeServing.clear()
    }

    private fun onCommitted(
        now: Long,
        result: LedgerOpResult,
    ) {
        val written = write ?: return
        when (result) {
            is LedgerOpResult.Written -> confirmWrite(written, result.version)
            LedgerOpResult.Failed -> abandonWrite(now, written, "the platform did not record the intent")
            else -> step = Step.RecheckSegment
        }
    }

    private fun onSegmentRechecked(
        now: Long,
        result: LedgerOpResult,
    ) {
        if (result !is LedgerOpResult.Segment) {
            mayHoldRefusedIntents = true
            return abandonWrite(now, write, "the platform did not confirm that the intent was recorded")
        }
        val segment = result.segment
        val isPresent = segment != null
        if (isPresent != (result.version != 0L) || (!isPresent && buffer.version != 0L)) return stop("a segment of the range was removed")
        if (segment != null && (!isOwn(segment) || segment.sealed)) return stop("the range has a newer owner")
        step = Step.Serve
        val written = write
        if (written != null && segment?.writeId == written.id) return confirmWrite(written, result.version)
        // The write has not been applied so far. If it arrives later, the next write conflicts, which leads back to this step.
        buffer.version = result.version
        write = null
        if (written != null) calls.requeue(written.batch)
    }

    private fun confirmWrite(
        written: Write,
        version: Long,
    ) {
        write = null
        mayHoldRefusedIntents = false
        buffer.confirm(written.entries, version)
        calls.onIntentsRecorded(written.intents)
    }

    /** Answers `not-run` to all waiting attempts, for which nothing was sent. Outcomes of calls remain to be recorded. */
    private fun abandonWrite(
        now: Long,
        written: Write?,
        reason: String,
    ) {
        write = null
        calls.requeue(written?.batch.orEmpty())
        calls.refuseWaiting(unavailable(reason))
        notBefore = now + limits.commitIntervalMs
    }

    private fun startNextSegment(version: Long) {
        headVersion = version
        newestAt[buffer.number] = buffer.newestAt()
        newestAt.keys.filter { it < firstSegment }.forEach {
            newestAt.remove(it)
            deletions.addLast(it)
        }
        buffer = LedgerSegmentBuffer(buffer.number + 1, 0)
        step = Step.Serve
    }

    private fun onHeadRechecked(
        now: Long,
        result: LedgerOpResult,
    ) {
        if (result !is LedgerOpResult.Head) return abandonWrite(now, null, "the platform does not answer")
        val head = result.head
        if (head == null || head.epoch != epoch || head.owner != owner) return stop("the range has a newer owner")
        headVersion = result.version
        if (head.lastSegment == buffer.number + 1) startNextSegment(result.version) else step = Step.AdvanceHead
    }

    /** Goes back to the step [from]. After a failure the waiting attempts are answered, since a takeover can take long in an outage. */
    private fun restart(
        now: Long,
        result: LedgerOpResult,
        from: Step,
    ) {
        step = from
        if (result == LedgerOpResult.Failed) postpone(now)
    }

    /** Retries the step after the commit interval and refuses the calls that arrived before the range was ready. */
    private fun postpone(now: Long) {
        callsBeforeServing.keys.forEach { calls.refuse(it, unavailable("the platform does not answer")) }
        callsBeforeServing.clear()
        notBefore = now + limits.commitIntervalMs
    }

    /** Stops for good and refuses all calls that were not sent, because this instance no longer owns the range. */
    private fun stop(reason: String) {
        step = Step.Fenced
        callsBeforeServing.keys.forEach { calls.refuse(it, notOwner(reason)) }
        callsBeforeServing.clear()
        calls.requeue(write?.batch.orEmpty())
        write = null
        calls.refuseWaiting(notOwner(reason))
    }

    /** Moves [firstSegment] past the segments whose keys are all older than the retention time, and returns it. */
    private fun firstRetainedSegment(wallMs: Long): Long {
        val kept = newestAt.entries.firstOrNull { it.value + limits.retentionMs >= wallMs }?.key ?: buffer.number
        firstSegment = maxOf(firstSegment, kept)
        return firstSegment
    }

    private fun sealed(segment: LedgerSegment) = segment.copy(epoch = epoch, writeId = newWriteId(), sealed = true)

    private fun hasOtherOwner(head: LedgerHead?) = head != null && (head.epoch > epoch || head.epoch == epoch && head.owner != owner)

    private fun isOwn(segment: LedgerSegment) = segment.writeId.startsWith(writeIdPrefix)

    private fun notOwner(detail: String) = LedgerReply.NotRun(LedgerReply.NOT_OWNER, detail)

    private fun unavailable(detail: String) = LedgerReply.NotRun("ledger-unavailable", detail)

    private fun newWriteId() = "$writeIdPrefix${writeCount++}"
}
