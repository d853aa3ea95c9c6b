/*
 * The calls that this instance is answering, so that a withdrawn key or a lost lease can end them.
 */
package io.skylarkstile.entry.front

import io.skylarkstile.core.snapshot.Snapshot
import kotlinx.coroutines.CompletableDeferred
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** One running call. [endSignal] is completed with the problem that ends it early. */
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

    /** Adds a call. A key that was withdrawn after the call was identified, while it waited for admission, ends it at once. */
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

    /** Ends the calls whose key [snapshot] no longer accepts; returns their number. */
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

    /** Ends all calls, since this instance can no longer notice withdrawn keys. */
    fun endAllOnIsolation(): Int = calls.values.count { it.endSignal.complete(ISOLATED) }

    private companion object {
        val KEY_WITHDRAWN = Problem(401, "key-withdrawn", "the key was withdrawn while the answer was running", Outcome.Unknown)
        val ISOLATED = Problem(503, "instance-isolated", "this instance has lost contact with the platform and its peers", Outcome.Unknown)
    }
}
