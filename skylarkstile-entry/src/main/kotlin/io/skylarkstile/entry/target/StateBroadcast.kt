/*
 * Broadcasts the state of the owned targets to the other instances.
 */
package io.skylarkstile.entry.target

import io.skylarkstile.core.cluster.ClusterView
import io.skylarkstile.schema.generated.TargetState
import io.skylarkstile.transport.peer.MessageKinds
import io.skylarkstile.transport.peer.PeerNetwork
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.abs

/** Shortest interval between two messages about changes of a target. */
private const val SEND_INTERVAL_MS = 100L

/** Longest interval between two messages about a target. */
private const val REPEAT_MS = 1_000L

/** A change of the load is sent at once if it is at least this fraction (1/8) of the capacity. */
private const val LOAD_STEPS = 8

/** Sends the state of each target to all members after a significant change, at most every 100 ms, and otherwise once per second. */
internal class StateBroadcast(
    private val cluster: ClusterView,
    private val network: PeerNetwork,
    private val accept: (TargetState) -> Unit,
    private val now: () -> Long,
) {
    private val changed = ConcurrentHashMap.newKeySet<String>()
    private val sent = HashMap<String, SentState>()

    private class SentState(
        val state: TargetState,
        val at: Long,
    )

    /** Marks [target] as changed. Cheap enough to be called for each request. */
    fun changed(target: String) {
        changed.add(target)
    }

    /** Sends the states of the targets of [owner] until cancelled. */
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
        if (before != null && !isRepeatDue(state.target, at) && !isSignificantChange(before.state, state)) return
        sent[state.target] = SentState(state, at)
        cluster.members().filter { it.instance != cluster.self }.forEach { network.send(it.instance, MessageKinds.targetState, state) }
    }

    /** Returns whether the change must be sent now. Each request changes the load, so a small change waits for the next repetition. */
    private fun isSignificantChange(
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
