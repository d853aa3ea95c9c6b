/*
 * Lets instances that can read the store vouch for the instance set towards one that can't. A message carries the age of its sender's view
 * and the number of the last message it received from this instance. The view was thus current at the time that message was sent minus the
 * age. No clocks are compared, and a delayed message confirms no more than is certain.
 */
package io.skylarkstile.gateway.membership

import io.skylarkstile.schema.generated.GatewayState
import io.skylarkstile.schema.generated.SetVouch

/** Age of its view from which an instance requests vouches, in milliseconds: longer than one watch request to the store. */
private const val VOUCH_REQUEST_AGE_MS = 2_800L

/** Number of sent messages whose send times are kept. */
private const val MAX_KEPT_MESSAGES = 64

/** Requests, gives and applies vouches for the instance [name], whose process started at [startedAt]. Not thread-safe. */
class SetVouches(
    private val name: String,
    private val startedAt: Long,
    private val lease: OrderLease,
) {
    private val sentAt = LinkedHashMap<Long, Long>()

    /** Records that this instance sends its message [number] at [now]. */
    fun sent(
        number: Long,
        now: Long,
    ) {
        sentAt[number] = now
        if (sentAt.size > MAX_KEPT_MESSAGES) sentAt.remove(sentAt.keys.first())
    }

    /** Returns whether this instance needs vouches from others. */
    fun isNeeded(now: Long): Boolean = lease.ageOrNull(now)?.let { it > VOUCH_REQUEST_AGE_MS } ?: false

    /** Returns vouches for the instances that request one; [heard] holds the last received states by instance name. */
    fun given(heard: Map<String, GatewayState>): List<SetVouch> =
        heard.filterValues { it.needsVouch }.map { (peer, state) -> SetVouch(peer, state.startedAt, state.number) }

    /** Extends the lease if [state], received from another instance, vouches for this one. */
    fun hear(state: GatewayState) {
        if (state.setAgeMs < 0) return
        val vouch = state.vouches.firstOrNull { it.instance == name && it.startedAt == startedAt } ?: return
        val askedAt = sentAt[vouch.number] ?: return
        lease.vouch(state.set, askedAt - state.setAgeMs, askedAt)
    }
}
