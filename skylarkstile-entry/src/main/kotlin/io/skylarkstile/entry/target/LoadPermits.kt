/*
 * Permits to load an adapter from the weight store, requested by target owners.
 */
package io.skylarkstile.entry.target

import io.skylarkstile.schema.generated.LoadAsk

/** Grants load permits. */
internal interface LoadPermits {
    /** Waits up to about one second for a permit; returns null if none was granted, and the caller repeats the call while it needs one. */
    suspend fun acquireOrNull(ask: LoadAsk): LoadPermit?
}

/** Permits one load until [release]. */
internal fun interface LoadPermit {
    fun release()
}
