/*
 * What the HTTP front needs from the other parts of the instance.
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
    /** Runs [request]; the flow ends with [DispatchEvent.End]. The runner chooses the target; [Dispatch.target] is empty. */
    fun run(request: Dispatch): Flow<DispatchEvent>

    /** Returns the instance that owns the likely target of the adapter, or `null` when there is no target. */
    fun likelyOwnerOrNull(
        adapter: String,
        version: String,
    ): String?
}

/** Runs non-idempotent service calls at most once. */
internal fun interface LedgerRunner {
    suspend fun call(call: LedgerCall): LedgerAnswer
}

/** Checks callers' keys. */
internal fun interface KeyVerifier {
    /** Returns the id of the accepted key, or `null`. */
    fun verifyOrNull(
        snapshot: Snapshot,
        key: String,
    ): String?
}
