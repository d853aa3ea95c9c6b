/*
 * Constructors and reasons of [DispatchEnd], the result of a model request.
 */
package io.skylarkstile.entry.target

import io.skylarkstile.schema.generated.DispatchEnd

/** Reason of a refusal by an engine that has not loaded the adapter. */
internal const val ADAPTER_MISSING = "adapter-missing"

/** Reason for aborting requests that were running when the engine restarted. */
internal const val TARGET_RESTARTED = "target-restarted"

internal val doneEnd = DispatchEnd(DispatchEnd.Outcome.Done)

/** Ends a request of which no part ran. */
internal fun notRun(
    reason: String,
    detail: String? = null,
    retryAfterMs: Long? = null,
): DispatchEnd = DispatchEnd(DispatchEnd.Outcome.NotRun, reason, detail, retryAfterMs)

/** Ends a request that may have run, partly or completely. */
internal fun unknownEnd(
    reason: String,
    detail: String? = null,
): DispatchEnd = DispatchEnd(DispatchEnd.Outcome.Unknown, reason, detail)
