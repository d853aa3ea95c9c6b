/*
 * Permits for calls to targets that have named a limit. Without a limit, no permit is needed.
 */
package io.skylarkstile.gateway.relay

import io.skylarkstile.gateway.model.ResponseHead
import io.skylarkstile.gateway.target.CallGrant
import io.skylarkstile.gateway.target.TargetState

/** Keeps the calls of all instances within the limits that targets name. */
interface CallPermits {
    /** Applies the limit that the response [head] of [target] names or lifts; the call was sent at [sentAt]. */
    fun responseReceived(
        target: TargetState,
        head: ResponseHead,
        sentAt: Long,
    )

    /**
     * Requests a permit for one call to [target], which has named a limit; the call can wait for [maxWaitMs] milliseconds. [done] receives
     * the answer exactly once, within some tens of milliseconds. A refusal blocks the target for a while.
     */
    fun request(
        target: TargetState,
        maxWaitMs: Long,
        done: (CallGrant) -> Unit,
    )
}
