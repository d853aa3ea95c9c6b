/*
 * The inputs and outputs of [LedgerRange]: operations on the platform, their results, and effects on the calls.
 */
package io.skylarkstile.core.ledger

import io.skylarkstile.schema.generated.LedgerHead
import io.skylarkstile.schema.generated.LedgerSegment

/**
 * Holds the limits of a range. Times are in milliseconds, sizes in bytes; [segmentBytes] limits the estimated JSON size of a segment, and
 * [bodyBytes] is the size of the largest body that is kept for repeats.
 */
data class LedgerLimits(
    val commitIntervalMs: Long = 60,
    val segmentEntries: Int = 400,
    val segmentBytes: Int = 256 * 1024,
    val bodyBytes: Int = 16 * 1024,
    val retentionMs: Long = 86_400_000,
)

/** Describes one operation on the platform. The caller carries it out and passes the result to [LedgerRange.completed]. */
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

    /** Deletes a segment whose keys have all expired. Its result is ignored. */
    data class DeleteSegment(
        val number: Long,
    ) : LedgerOp
}

/** Tells how a [LedgerOp] ended. */
sealed interface LedgerOpResult {
    /** The object that was read; [head] is `null` and [version] is 0 when it does not exist. */
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

    /** The object has another version than the write was conditional on; nothing was changed. */
    data object Conflict : LedgerOpResult

    /** Nothing was read or changed. */
    data object Failed : LedgerOpResult

    /** A write may or may not have taken effect. */
    data object Uncertain : LedgerOpResult
}

/** Tells how a call to the service ended. */
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

    /** At least part of the request was sent, and no complete answer arrived. */
    data class NoAnswer(
        val detail: String,
    ) : RunResult
}

/** The reply to one attempt. */
sealed interface LedgerReply {
    /** The service answered. [body] is `null` for a repeat whose answer was too large to keep; [replayed] is true for a repeat. */
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

    /** The key was used before with a different request body; this attempt did not run. */
    data object Mismatch : LedgerReply

    /** The service may or may not have acted on the key. */
    data class Unknown(
        val detail: String,
    ) : LedgerReply

    companion object {
        /** Reason of a refusal because another instance owns the range or takes it over. The caller may ask that instance at once. */
        const val NOT_OWNER = "not-owner"
    }
}

/** Describes an action that the caller of [LedgerRange] has to carry out. */
sealed interface LedgerEffect {
    data class Answer(
        val attempt: Long,
        val reply: LedgerReply,
    ) : LedgerEffect

    /** Makes the call of [attempt] once, now that the intent of [key] is recorded. The result is passed to [LedgerRange.ran]. */
    data class Run(
        val key: String,
        val attempt: Long,
    ) : LedgerEffect
}
