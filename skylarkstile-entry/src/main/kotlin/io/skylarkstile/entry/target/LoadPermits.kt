/*
 * Permission to load an adapter from the weight store, as a target owner sees it.
 */
package io.skylarkstile.entry.target

import io.skylarkstile.schema.generated.LoadAsk

/** Gives permits for loads. */
internal interface LoadPermits {
    /** Waits up to about a second for a permit; returns null when there is none, and the caller asks again while it still needs it. */
    suspend fun acquireOrNull(ask: LoadAsk): LoadPermit?
}

/** Permits one load until [release]. */
internal fun interface LoadPermit {
    fun release()
}
