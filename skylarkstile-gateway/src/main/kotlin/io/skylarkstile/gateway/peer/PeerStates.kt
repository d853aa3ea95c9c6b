/*
 * The last received state of each other instance. States are sent repeatedly, so a lost message only delays an update.
 */
package io.skylarkstile.gateway.peer

import io.skylarkstile.schema.generated.GatewayState

/** Stores the last state of each peer. Not thread-safe. */
class PeerStates {
    private class ReceivedState(
        val state: GatewayState,
        val at: Long,
    )

    private val received = HashMap<String, ReceivedState>()

    /** Stores [state] of [name]; returns false and ignores it if it is older than the stored one. */
    fun receive(
        name: String,
        state: GatewayState,
        now: Long,
    ): Boolean {
        val known = received[name]?.state
        if (known != null &&
            (state.startedAt < known.startedAt || (state.startedAt == known.startedAt && state.number <= known.number))
        ) {
            return false
        }
        received[name] = ReceivedState(state, now)
        return true
    }

    /** Removes the states of instances other than [members]. */
    fun retain(members: Set<String>) {
        received.keys.retainAll(members)
    }

    /** Returns when the last state of [name] was received, or null. */
    fun lastHeardAtOrNull(name: String): Long? = received[name]?.at

    /** Returns the last states of all peers. */
    fun states(): Collection<GatewayState> = received.values.map { it.state }

    /** Returns the states that were received within the last [withinMs] milliseconds, by peer. */
    fun recent(
        now: Long,
        withinMs: Long,
    ): Map<String, GatewayState> = received.filterValues { now - it.at <= withinMs }.mapValues { it.value.state }
}
