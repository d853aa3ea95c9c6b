/*
 * What the other instances last said of themselves. All of it is repeated, so a lost message only costs time.
 */
package io.skylarkstile.gateway.peer

import io.skylarkstile.schema.generated.GatewayState

/** Remembers the last state of each peer. Not thread-safe. */
class PeerBoard {
    private class Heard(
        val state: GatewayState,
        val at: Long,
    )

    private val heard = HashMap<String, Heard>()

    /** Notes [state] of [name]; returns false for one that was overtaken. */
    fun hear(
        name: String,
        state: GatewayState,
        now: Long,
    ): Boolean {
        val known = heard[name]?.state
        if (known != null &&
            (state.startedAt < known.startedAt || (state.startedAt == known.startedAt && state.number <= known.number))
        ) {
            return false
        }
        heard[name] = Heard(state, now)
        return true
    }

    /** Forgets all but [members]. */
    fun retain(members: Set<String>) {
        heard.keys.retainAll(members)
    }

    /** Returns when [name] was last heard, or null. */
    fun heardAtOrNull(name: String): Long? = heard[name]?.at

    /** Returns the last states of all peers. */
    fun states(): Collection<GatewayState> = heard.values.map { it.state }

    /** Returns the last states of the peers heard within [withinMs] milliseconds. */
    fun recent(
        now: Long,
        withinMs: Long,
    ): Map<String, GatewayState> = heard.filterValues { now - it.at <= withinMs }.mapValues { it.value.state }
}
