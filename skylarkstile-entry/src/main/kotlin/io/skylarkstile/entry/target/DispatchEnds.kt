/*
 * Ends of model requests.
 */
package io.skylarkstile.entry.target

import io.skylarkstile.schema.generated.DispatchEnd

/** Reason of a refusal by an engine that does not hold the adapter. */
internal const val ADAPTER_MISSING = "adapter-missing"

/** Reason of giving up requests that ran before the engine restarted. */
internal const val TARGET_RESTARTED = "target-restarted"

internal val doneEnd = DispatchEnd(DispatchEnd.Outcome.Done)

/** Ends a request of which nothing ran. */
internal fun notRun(
    reason: String,
    detail: String? = null,
    retryAfterMs: Long? = null,
): DispatchEnd = DispatchEnd(DispatchEnd.Outcome.NotRun, reason, detail, retryAfterMs)

/** Ends a request that may have run in part or whole. */
internal fun unknownEnd(
    reason: String,
    detail: String? = null,
): DispatchEnd = DispatchEnd(DispatchEnd.Outcome.Unknown, reason, detail)
