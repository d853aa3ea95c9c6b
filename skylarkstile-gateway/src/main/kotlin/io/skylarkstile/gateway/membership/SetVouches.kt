/*
 * Confirmations of the set of instances by those that still see the store, for one that doesn't. A message says how old its sender's view
 * is and which message of this instance it heard last. The view was current when that message was sent, less the age, so no clocks are
 * compared, and a message that was delayed on its way confirms only as much as is certain.
 */
package io.skylarkstile.gateway.membership

import io.skylarkstile.schema.generated.GatewayState
import io.skylarkstile.schema.generated.SetVouch

/** An instance asks for vouches once its own view is this old, in milliseconds: older than one watch of the store. */
private const val NEEDS_VOUCH_MS = 2_800L

/** Own messages whose times are remembered. */
private const val REMEMBERED_MESSAGES = 64

/** Asks and answers for the instance [name] whose process started at [startedAt]. Not thread-safe. */
class SetVouches(
    private val name: String,
    private val startedAt: Long,
    private val lease: OrderLease,
) {
    private val sentAt = LinkedHashMap<Long, Long>()

    /** Notes that the own message [number] is sent. */
    fun sent(
        number: Long,
        now: Long,
    ) {
        sentAt[number] = now
        if (sentAt.size > REMEMBERED_MESSAGES) sentAt.remove(sentAt.keys.first())
    }

    /** Returns whether this instance needs others to confirm its view. */
    fun isNeeded(now: Long): Boolean = lease.ageOrNull(now)?.let { it > NEEDS_VOUCH_MS } ?: false

    /** Returns the vouches for those of [heard], by name, that need one. */
    fun given(heard: Map<String, GatewayState>): List<SetVouch> =
        heard.filterValues { it.needsVouch }.map { (peer, state) -> SetVouch(peer, state.startedAt, state.number) }

    /** Applies what [state] of another instance says about the set. */
    fun hear(state: GatewayState) {
        if (state.setAgeMs < 0) return
        val vouch = state.vouches.firstOrNull { it.instance == name && it.startedAt == startedAt } ?: return
        val askedAt = sentAt[vouch.number] ?: return
        lease.vouch(state.set, askedAt - state.setAgeMs, askedAt)
    }
}
