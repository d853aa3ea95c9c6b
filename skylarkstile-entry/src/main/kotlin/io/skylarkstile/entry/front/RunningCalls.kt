/*
 * Tracks the calls that this instance is answering, so that they can be ended when their key is withdrawn or the instance is isolated.
 */
package io.skylarkstile.entry.front

import io.skylarkstile.core.snapshot.Snapshot
import kotlinx.coroutines.CompletableDeferred
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Represents one running call. Completing [endSignal] with a problem ends the call early. */
internal class RunningCall(
    val id: Long,
    val keyId: String?,
    val workspace: String,
    val startedMs: Long,
) {
    val endSignal = CompletableDeferred<Problem>()
}

internal class RunningCalls {
    private val calls = ConcurrentHashMap<Long, RunningCall>()
    private val ids = AtomicLong()

    @Volatile
    private var latestSnapshot: Snapshot? = null

    val count: Int get() = calls.size

    /** Adds a call. The call is ended at once when its key was withdrawn while it waited for admission. */
    fun begin(
        keyId: String?,
        workspace: String,
        now: Long,
    ): RunningCall {
        val call = RunningCall(ids.incrementAndGet(), keyId, workspace, now)
        calls[call.id] = call
        latestSnapshot?.let { endIfKeyWithdrawn(call, it) }
        return call
    }

    fun end(call: RunningCall) {
        calls.remove(call.id)
    }

    /** Ends the calls whose key is no longer accepted in [snapshot], and returns their number. */
    fun endCallsOfWithdrawnKeys(snapshot: Snapshot): Int {
        latestSnapshot = snapshot
        return calls.values.count { endIfKeyWithdrawn(it, snapshot) }
    }

    private fun endIfKeyWithdrawn(
        call: RunningCall,
        snapshot: Snapshot,
    ): Boolean {
        val key = call.keyId ?: return false
        val accepted = snapshot.keys[key]?.let { !it.withdrawn && it.workspace == call.workspace } ?: false
        return !accepted && call.endSignal.complete(KEY_WITHDRAWN)
    }

    /** Ends all calls, because an isolated instance does not learn of withdrawn keys, and returns their number. */
    fun endAllOnIsolation(): Int = calls.values.count { it.endSignal.complete(ISOLATED) }

    private companion object {
        val KEY_WITHDRAWN = Problem(401, "key-withdrawn", "the key was withdrawn while the request was running", Outcome.Unknown)
        val ISOLATED = Problem(503, "instance-isolated", "this instance has lost contact with the platform and its peers", Outcome.Unknown)
    }
}
