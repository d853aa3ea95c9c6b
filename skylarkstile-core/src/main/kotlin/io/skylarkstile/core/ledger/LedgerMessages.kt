/*
 * What goes into and comes out of [LedgerRange]: operations on the platform, their results, and effects for the calls.
 */
package io.skylarkstile.core.ledger

import io.skylarkstile.schema.generated.LedgerHead
import io.skylarkstile.schema.generated.LedgerSegment

/** Bounds of a range; times in milliseconds, [segmentBytes] is an estimate of the JSON size. */
data class LedgerLimits(
    val commitIntervalMs: Long = 60,
    val segmentEntries: Int = 400,
    val segmentBytes: Int = 256 * 1024,
    val bodyBytes: Int = 16 * 1024,
    val retentionMs: Long = 86_400_000,
)

/** One operation on the platform. The caller carries it out and passes the result to [LedgerRange.completed]. */
sealed interface LedgerOp {
    data object ReadHead : LedgerOp

    data class ReadSegment(
        val number: Long,
    ) : LedgerOp

    data class WriteHead(
        val head: LedgerHead,
        val ifVersion: Long,
    ) : LedgerOp

    data class WriteSegment(
        val number: Long,
        val segment: LedgerSegment,
        val ifVersion: Long,
    ) : LedgerOp

    /** Removes a segment whose keys are no longer remembered; the result does not matter. */
    data class DeleteSegment(
        val number: Long,
    ) : LedgerOp
}

/** Tells how a [LedgerOp] ended. */
sealed interface LedgerOpResult {
    /** The object that was read; both values are `null` and 0 when there is none. */
    data class Head(
        val head: LedgerHead?,
        val version: Long,
    ) : LedgerOpResult

    data class Segment(
        val segment: LedgerSegment?,
        val version: Long,
    ) : LedgerOpResult

    data class Written(
        val version: Long,
    ) : LedgerOpResult

    /** The condition did not hold. */
    data object Conflict : LedgerOpResult

    /** Nothing was read or changed. */
    data object Failed : LedgerOpResult

    /** A write may or may not have taken effect. */
    data object Uncertain : LedgerOpResult
}

/** Tells how a call of the service ended. */
sealed interface RunResult {
    class Answered(
        val status: Int,
        val contentType: String,
        val body: ByteArray,
    ) : RunResult

    /** No byte was sent. */
    data class NotSent(
        val detail: String,
    ) : RunResult

    /** The request was sent at least in part and the answer is missing. */
    data class NoAnswer(
        val detail: String,
    ) : RunResult
}

/** The answer to one attempt. */
sealed interface LedgerReply {
    /** The service answered; [body] is `null` when a repeat asks for an answer that was too large to keep. */
    class Done(
        val status: Int,
        val contentType: String,
        val body: ByteArray?,
        val replayed: Boolean,
    ) : LedgerReply

    /** This attempt did not run and never will. */
    data class NotRun(
        val reason: String,
        val detail: String,
    ) : LedgerReply

    /** The key was used before with another request; this attempt did not run. */
    data object Mismatch : LedgerReply

    /** The service may or may not have acted on the key. */
    data class Unknown(
        val detail: String,
    ) : LedgerReply

    companion object {
        /** Reason of a refusal because the range has or gets another owner, which may be asked at once. */
        const val NOT_OWNER = "not-owner"
    }
}

/** Something that the caller of [LedgerRange] has to carry out. */
sealed interface LedgerEffect {
    data class Answer(
        val attempt: Long,
        val reply: LedgerReply,
    ) : LedgerEffect

    /** The intent of [key] is recorded: the call of [attempt] is to be made once, and its result passed to [LedgerRange.ran]. */
    data class Run(
        val key: String,
        val attempt: Long,
    ) : LedgerEffect
}
