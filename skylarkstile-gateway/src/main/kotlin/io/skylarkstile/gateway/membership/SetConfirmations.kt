/*
 * Lets instances that can read the store confirm the instance set to one that can't. A message carries the age of its sender's view
 * and the number of the last message it received from this instance. The view was thus current at the time that message was sent minus the
 * age. No clocks are compared, and a delayed message confirms no more than is certain.
 */
package io.skylarkstile.gateway.membership

import io.skylarkstile.schema.generated.GatewayState
import io.skylarkstile.schema.generated.SetVouch

/** Age of its view from which an instance requests confirmations, in milliseconds: longer than one watch request to the store. */
private const val CONFIRMATION_REQUEST_AGE_MS = 2_800L

/** Number of sent messages whose send times are kept. */
private const val MAX_KEPT_MESSAGES = 64

/** Requests, gives and applies confirmations for the instance [name], whose process started at [startedAt]. Not thread-safe. */
class SetConfirmations(
    private val name: String,
    private val startedAt: Long,
    private val lease: OrderLease,
) {
    private val sentAt = LinkedHashMap<Long, Long>()

    /** Records that this instance sends its message [number] at [now]. */
    fun recordSent(
        number: Long,
        now: Long,
    ) {
        sentAt[number] = now
        if (sentAt.size > MAX_KEPT_MESSAGES) sentAt.remove(sentAt.keys.first())
    }

    /** Returns whether this instance needs confirmations from others. */
    fun isNeeded(now: Long): Boolean = lease.confirmationAgeOrNull(now)?.let { it > CONFIRMATION_REQUEST_AGE_MS } ?: false

    /** Returns confirmations for the instances that request one; [heard] holds the last received states by instance name. */
    fun confirmationsFor(heard: Map<String, GatewayState>): List<SetVouch> =
        heard.filterValues { it.needsVouch }.map { (peer, state) -> SetVouch(peer, state.startedAt, state.number) }

    /** Extends the lease if [state], received from another instance, confirms the set for this one. */
    fun receive(state: GatewayState) {
        if (state.setAgeMs < 0) return
        val confirmation = state.vouches.firstOrNull { it.instance == name && it.startedAt == startedAt } ?: return
        val requestedAt = sentAt[confirmation.number] ?: return
        lease.confirmByPeer(state.set, requestedAt - state.setAgeMs, requestedAt)
    }
}
