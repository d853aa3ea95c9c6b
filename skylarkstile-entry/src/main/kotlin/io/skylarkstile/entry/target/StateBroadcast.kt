/*
 * Tells the other instances the state of the targets owned here.
 */
package io.skylarkstile.entry.target

import io.skylarkstile.core.cluster.ClusterView
import io.skylarkstile.schema.generated.TargetState
import io.skylarkstile.transport.peer.MessageKinds
import io.skylarkstile.transport.peer.PeerNetwork
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.abs

/** Changes are sent at most this often, and each state at least once in [REPEAT_MS]. */
private const val SEND_INTERVAL_MS = 100L
private const val REPEAT_MS = 1_000L
private const val LOAD_STEPS = 8

/** Sends each target's state to all members after a change, at most every 100 ms, and each second otherwise. */
internal class StateBroadcast(
    private val cluster: ClusterView,
    private val network: PeerNetwork,
    private val accept: (TargetState) -> Unit,
    private val now: () -> Long,
) {
    private val changed = ConcurrentHashMap.newKeySet<String>()
    private val sent = HashMap<String, Sent>()

    private class Sent(
        val state: TargetState,
        val at: Long,
    )

    /** Marks [target] as changed; cheap. */
    fun changed(target: String) {
        changed.add(target)
    }

    /** Sends states from [owner] until cancelled. */
    suspend fun run(owner: TargetOwner) {
        while (true) {
            sendDue(owner)
            delay(SEND_INTERVAL_MS)
        }
    }

    internal fun sendDue(owner: TargetOwner) {
        val at = now()
        val targets = owner.targets()
        targets.filter { changed.remove(it) || isRepeatDue(it, at) }.mapNotNull { owner.stateOrNull(it) }.forEach { send(it, at) }
        sent.keys.retainAll(targets)
    }

    private fun isRepeatDue(
        target: String,
        at: Long,
    ): Boolean = sent[target]?.let { at - it.at >= REPEAT_MS } ?: true

    private fun send(
        state: TargetState,
        at: Long,
    ) {
        accept(state)
        val before = sent[state.target]
        if (before != null && !isRepeatDue(state.target, at) && !isWorthSending(before.state, state)) return
        sent[state.target] = Sent(state, at)
        cluster.members().filter { it.instance != cluster.self }.forEach { network.send(it.instance, MessageKinds.targetState, state) }
    }

    /** Every request changes the load, so a small change of it waits for the next repeat. */
    private fun isWorthSending(
        before: TargetState,
        state: TargetState,
    ): Boolean {
        val isLoadChanged = abs(state.running + state.queued - before.running - before.queued) >= maxOf(1, state.maxRunning / LOAD_STEPS)
        return isLoadChanged ||
            state.loaded != before.loaded ||
            state.loading != before.loading ||
            state.accepting != before.accepting ||
            state.epoch != before.epoch
    }
}
