/*
 * Converts outcomes of the ledger to answers for the instance that holds the caller's connection.
 */
package io.skylarkstile.entry.ledger

import io.skylarkstile.core.ledger.LedgerReply
import io.skylarkstile.schema.generated.LedgerAnswer

private const val RETRY_AFTER_MS = 1_000L
private const val KEY_REUSED_STATUS = 422

internal fun LedgerReply.toAnswer(): LedgerAnswer = when (this) {
    is LedgerReply.Done -> done(this)
    is LedgerReply.NotRun -> notRun(reason, detail)
    is LedgerReply.Unknown -> unknown(detail)
    LedgerReply.Mismatch ->
        LedgerAnswer(
            LedgerAnswer.Outcome.NotRun,
            status = KEY_REUSED_STATUS,
            reason = "key-reused",
            detail = "the idempotency key was used before with another request",
        )
}

private fun done(reply: LedgerReply.Done): LedgerAnswer {
    val isAnswerKept = reply.body != null
    return LedgerAnswer(
        LedgerAnswer.Outcome.Done,
        replayed = reply.replayed,
        status = reply.status,
        contentType = reply.contentType,
        body = reply.body,
        reason = if (isAnswerKept) null else "answer-not-kept",
        detail = if (isAnswerKept) null else "the call was made, but its answer was too large to store",
    )
}

internal fun notRun(
    reason: String,
    detail: String,
): LedgerAnswer = LedgerAnswer(LedgerAnswer.Outcome.NotRun, reason = reason, detail = detail, retryAfterMs = RETRY_AFTER_MS)

internal fun unknown(detail: String): LedgerAnswer = LedgerAnswer(LedgerAnswer.Outcome.Unknown, reason = "outcome-unknown", detail = detail)
