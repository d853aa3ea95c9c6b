/*
 * Defines the interfaces through which the HTTP front end uses the other components of the instance.
 */
package io.skylarkstile.entry.front

import io.skylarkstile.core.dispatch.DispatchEvent
import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.schema.generated.Dispatch
import io.skylarkstile.schema.generated.LedgerAnswer
import io.skylarkstile.schema.generated.LedgerCall
import kotlinx.coroutines.flow.Flow

/** Runs model requests on a target that this or another instance owns. */
internal interface ModelRunner {
    /** Runs [request] on a target that the runner selects; [Dispatch.target] must be empty. The flow ends with [DispatchEvent.End]. */
    fun run(request: Dispatch): Flow<DispatchEvent>

    /** Returns the instance that owns the target which would most likely be selected, or `null` when there is no target. */
    fun likelyOwnerOrNull(
        adapter: String,
        version: String,
    ): String?
}

/** Runs non-idempotent service calls at most once per idempotency key. */
internal fun interface LedgerRunner {
    suspend fun call(call: LedgerCall): LedgerAnswer
}

/** Verifies the API keys of callers. */
internal fun interface KeyVerifier {
    /** Returns the id of [key], or `null` when the key is not accepted. */
    fun verifyOrNull(
        snapshot: Snapshot,
        key: String,
    ): String?
}
