/*
 * One key range of the ledger in the hands of one owner: takeover, group commit, re-reading after a lost answer, and segment roll.
 *
 * The fence is the write before the execution. A takeover raises the epoch in the head, seals the last segment, and creates its own next
 * segment. An old owner can write only to its last segment (sealed: conflict) or create the one after it. If that creation comes first,
 * the takeover finds the segment, loads it and seals it too. All writes are conditional on the version last seen.
 */
package io.skylarkstile.core.ledger

import io.skylarkstile.schema.generated.LedgerEntry
import io.skylarkstile.schema.generated.LedgerHead
import io.skylarkstile.schema.generated.LedgerSegment

/**
 * Decides for one range. It is not thread-safe. `now` is monotonic milliseconds; `wall` is the time of day in milliseconds and is used
 * for retention only. [writeIdPrefix] must be unique to this object, since it tells own writes from those of other owners.
 */
class LedgerRange(
    private val owner: String,
    private val epoch: Long,
    private val writeIdPrefix: String,
    private val limits: LedgerLimits = LedgerLimits(),
) {
    private sealed interface Step {
        data object ReadHead : Step

        data class Load(
            val number: Long,
        ) : Step

        data object RaiseHead : Step

        data object Seal : Step

        data object Create : Step

        data object Serve : Step

        data object Recheck : Step

        data object RollHead : Step

        data object CheckHead : Step

        data object Fenced : Step
    }

    private class Loaded(
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
         * Keys that this write records as intents. A key of the batch recorded as `not-run` may be called again during the write; its new
         * intent is in the next write only.
         */
        val intents = batch.filter { it.state == KeyState.WAITING }
    }

    private val calls = LedgerCalls(limits)
    private val early = LinkedHashMap<Long, Pair<String, String>>()
    private val newestAt = sortedMapOf<Long, Long>()
    private val deletions = ArrayDeque<Long>()
    private var step: Step = Step.ReadHead
    private var pending: LedgerOp? = null
    private var notBefore = Long.MIN_VALUE
    private var headVersion = 0L
    private var firstSegment = 1L
    private var nextSegment = 1L
    private var last: Loaded? = null
    private var buffer = LedgerSegmentBuffer(0, 0)
    private var write: Write? = null
    private var writes = 0L

    /** An abandoned write may have recorded intents that were answered `not-run`; the next commit removes them. */
    private var stale = false

    val isFenced: Boolean get() = step == Step.Fenced
    val isServing: Boolean get() = step == Step.Serve

    /** Returns whether [nextOp] has or will soon have something to do without a further call. */
    val hasWork: Boolean get() = step != Step.Serve || calls.dirty.isNotEmpty() || stale || deletions.isNotEmpty()
    val keys: Int get() = calls.size
    val waiting: Int get() = calls.waiting + early.size

    /** Adds [attempt] of a call with [key]; the effects follow now or later. */
    fun call(
        wall: Long,
        attempt: Long,
        key: String,
        bodyHash: String,
    ): List<LedgerEffect> {
        when {
            isFenced -> calls.refuse(attempt, notOwner("the range has another owner"))
            buffer.number == 0L -> early[attempt] = key to bodyHash
            else -> calls.call(wall, attempt, key, bodyHash)
        }
        return calls.takeEffects()
    }

    /** Passes the result of a call that [LedgerEffect.Run] asked for. */
    fun ran(
        key: String,
        result: RunResult,
    ): List<LedgerEffect> {
        calls.ran(key, result)
        return calls.takeEffects()
    }

    /** Returns the reply for an attempt whose deadline has passed, or `null` when its answer was given before. */
    fun giveUpOrNull(
        attempt: Long,
        key: String,
    ): LedgerReply? {
        if (early.remove(attempt) != null) return LedgerReply.NotRun("deadline", "the range was not ready in time")
        return calls.giveUpOrNull(attempt, key)
    }

    /** Stops starting calls, since another instance becomes the owner. Running calls end normally. */
    fun release(): List<LedgerEffect> {
        fence("the range moves to another owner")
        return calls.takeEffects()
    }

    /** Returns the operation to carry out next, or `null` when there is none at [now] or one is under way. */
    fun nextOp(
        now: Long,
        wall: Long,
    ): LedgerOp? {
        if (pending != null || now < notBefore) return null
        val op = operation(wall) ?: return null
        if (op !is LedgerOp.ReadHead && op !is LedgerOp.ReadSegment) notBefore = now + limits.commitIntervalMs
        pending = op
        return op
    }

    /** Passes the result of the operation last returned by [nextOp]. */
    fun completed(
        now: Long,
        wall: Long,
        result: LedgerOpResult,
    ): List<LedgerEffect> {
        val op = pending ?: return emptyList()
        pending = null
        if (op !is LedgerOp.DeleteSegment && !isFenced) advance(now, wall, result)
        return calls.takeEffects()
    }

    private fun operation(wall: Long): LedgerOp? = when (val s = step) {
        Step.ReadHead, Step.CheckHead -> LedgerOp.ReadHead
        is Step.Load -> LedgerOp.ReadSegment(s.number)
        Step.RaiseHead -> LedgerOp.WriteHead(LedgerHead(epoch, owner, firstSegment, nextSegment), headVersion)
        Step.Seal -> last!!.let { LedgerOp.WriteSegment(it.number, sealed(it.segment), it.version) }
        Step.Create -> LedgerOp.WriteSegment(nextSegment, LedgerSegment(epoch, newWriteId(), false, emptyList()), 0)
        Step.Serve -> commit(wall)
        Step.RollHead -> LedgerOp.WriteHead(LedgerHead(epoch, owner, firstKept(wall), buffer.number + 1), headVersion)
        Step.Recheck -> LedgerOp.ReadSegment(buffer.number)
        Step.Fenced -> null
    }

    private fun commit(wall: Long): LedgerOp? {
        calls.expire(wall)
        if (calls.dirty.isEmpty() && !stale) return deletions.removeFirstOrNull()?.let { LedgerOp.DeleteSegment(it) }
        if (buffer.isFull(limits) && !stale) {
            step = Step.RollHead
            return operation(wall)
        }
        val batch = buffer.batch(calls.dirty, limits)
        val next = Write(newWriteId(), batch, buffer.with(batch))
        calls.writing(batch)
        write = next
        return LedgerOp.WriteSegment(buffer.number, LedgerSegment(epoch, next.id, false, next.entries), buffer.version)
    }

    private fun advance(
        now: Long,
        wall: Long,
        result: LedgerOpResult,
    ) {
        when (val s = step) {
            Step.ReadHead -> headRead(now, result)
            is Step.Load -> segmentLoaded(now, wall, s.number, result)
            Step.RaiseHead -> headRaised(now, result)
            Step.Seal -> sealedLast(now, result)
            Step.Create -> created(now, wall, result)
            Step.Serve -> committed(now, result)
            Step.Recheck -> rechecked(now, result)
            Step.RollHead -> if (result is LedgerOpResult.Written) rolled(result.version) else step = Step.CheckHead
            Step.CheckHead -> headChecked(now, result)
            Step.Fenced -> Unit
        }
    }

    private fun headRead(
        now: Long,
        result: LedgerOpResult,
    ) {
        if (result !is LedgerOpResult.Head) return postpone(now)
        if (isForeign(result.head)) return fence("the range has a newer owner")
        headVersion = result.version
        firstSegment = result.head?.firstSegment ?: 1
        last = null
        step = Step.Load(firstSegment)
    }

    private fun segmentLoaded(
        now: Long,
        wall: Long,
        number: Long,
        result: LedgerOpResult,
    ) {
        if (result !is LedgerOpResult.Segment) return postpone(now)
        val segment = result.segment
        when {
            segment == null -> {
                nextSegment = number
                step = Step.RaiseHead
            }
            segment.epoch > epoch -> fence("the range has a newer owner")
            isOwn(segment) && !segment.sealed -> serve(wall, number, result.version)
            else -> {
                calls.load(segment.propertyEntries)
                newestAt[number] = segment.propertyEntries.maxOfOrNull { it.at } ?: 0
                last = Loaded(number, segment, result.version)
                step = Step.Load(number + 1)
            }
        }
    }

    private fun headRaised(
        now: Long,
        result: LedgerOpResult,
    ) {
        if (result !is LedgerOpResult.Written) return restart(now, result, Step.ReadHead)
        headVersion = result.version
        step = if (last?.segment?.sealed == false) Step.Seal else Step.Create
    }

    private fun sealedLast(
        now: Long,
        result: LedgerOpResult,
    ) = if (result is LedgerOpResult.Written) step = Step.Create else restart(now, result, Step.Load(last!!.number))

    private fun created(
        now: Long,
        wall: Long,
        result: LedgerOpResult,
    ) = if (result is LedgerOpResult.Written) serve(wall, nextSegment, result.version) else restart(now, result, Step.Load(nextSegment))

    private fun serve(
        wall: Long,
        number: Long,
        version: Long,
    ) {
        buffer = LedgerSegmentBuffer(number, version)
        step = Step.Serve
        early.forEach { (attempt, call) -> calls.call(wall, attempt, call.first, call.second) }
        early.clear()
    }

    private fun committed(
        now: Long,
        result: LedgerOpResult,
    ) {
        val written = write ?: return
        when (result) {
            is LedgerOpResult.Written -> confirm(written, result.version)
            LedgerOpResult.Failed -> abandon(now, written, "the platform did not take the intent")
            else -> step = Step.Recheck
        }
    }

    private fun rechecked(
        now: Long,
        result: LedgerOpResult,
    ) {
        if (result !is LedgerOpResult.Segment) {
            stale = true
            return abandon(now, write, "the platform did not confirm the intent")
        }
        val segment = result.segment
        val isPresent = segment != null
        if (isPresent != (result.version != 0L) || (!isPresent && buffer.version != 0L)) return fence("a segment of the range was removed")
        if (segment != null && (!isOwn(segment) || segment.sealed)) return fence("the range has a newer owner")
        step = Step.Serve
        val written = write
        if (written != null && segment?.writeId == written.id) return confirm(written, result.version)
        // Not applied so far. A late arrival of that write conflicts with the next one, which leads back to this step.
        buffer.version = result.version
        write = null
        if (written != null) calls.requeue(written.batch)
    }

    private fun confirm(
        written: Write,
        version: Long,
    ) {
        write = null
        stale = false
        buffer.confirm(written.entries, version)
        calls.confirmed(written.intents)
    }

    /** Answers all waiting attempts `not-run`: nothing was sent for them. Outcomes stay to be recorded. */
    private fun abandon(
        now: Long,
        written: Write?,
        reason: String,
    ) {
        write = null
        calls.requeue(written?.batch.orEmpty())
        calls.refuseWaiting(unavailable(reason))
        notBefore = now + limits.commitIntervalMs
    }

    private fun rolled(version: Long) {
        headVersion = version
        newestAt[buffer.number] = buffer.newestAt()
        newestAt.keys.filter { it < firstSegment }.forEach {
            newestAt.remove(it)
            deletions.addLast(it)
        }
        buffer = LedgerSegmentBuffer(buffer.number + 1, 0)
        step = Step.Serve
    }

    private fun headChecked(
        now: Long,
        result: LedgerOpResult,
    ) {
        if (result !is LedgerOpResult.Head) return abandon(now, null, "the platform does not answer")
        val head = result.head
        if (head == null || head.epoch != epoch || head.owner != owner) return fence("the range has a newer owner")
        headVersion = result.version
        if (head.lastSegment == buffer.number + 1) rolled(result.version) else step = Step.RollHead
    }

    /** Goes back to reading; after a failure the waiting attempts are answered, since a takeover may take long in an outage. */
    private fun restart(
        now: Long,
        result: LedgerOpResult,
        from: Step,
    ) {
        step = from
        if (result == LedgerOpResult.Failed) postpone(now)
    }

    private fun postpone(now: Long) {
        early.keys.forEach { calls.refuse(it, unavailable("the platform does not answer")) }
        early.clear()
        notBefore = now + limits.commitIntervalMs
    }

    private fun fence(reason: String) {
        step = Step.Fenced
        early.keys.forEach { calls.refuse(it, notOwner(reason)) }
        early.clear()
        calls.requeue(write?.batch.orEmpty())
        write = null
        calls.refuseWaiting(notOwner(reason))
    }

    /** Moves the first segment past those whose keys are all older than the retention. */
    private fun firstKept(wall: Long): Long {
        val kept = newestAt.entries.firstOrNull { it.value + limits.retentionMs >= wall }?.key ?: buffer.number
        firstSegment = maxOf(firstSegment, kept)
        return firstSegment
    }

    private fun sealed(segment: LedgerSegment) = segment.copy(epoch = epoch, writeId = newWriteId(), sealed = true)

    private fun isForeign(head: LedgerHead?) = head != null && (head.epoch > epoch || head.epoch == epoch && head.owner != owner)

    private fun isOwn(segment: LedgerSegment) = segment.writeId.startsWith(writeIdPrefix)

    private fun notOwner(detail: String) = LedgerReply.NotRun(LedgerReply.NOT_OWNER, detail)

    private fun unavailable(detail: String) = LedgerReply.NotRun("ledger-unavailable", detail)

    private fun newWriteId() = "$writeIdPrefix${writes++}"
}
