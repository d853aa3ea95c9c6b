/*
 * Tells the crash of a target from a lost connection. A connection may also end because the target breaks off one answer, because it has too
 * many connections, or because the link of this instance was reset; then the target accepts a new connection.
 */
package io.skylarkstile.gateway.crash

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.gateway.main.Scheduler
import io.skylarkstile.gateway.target.TargetState
import io.skylarkstile.gateway.target.TargetTable
import java.net.InetSocketAddress

private val log = KotlinLogging.logger {}

/** Time for which a crash is reported, in milliseconds. */
internal const val EVIDENCE_WINDOW_MS = 30_000L

/** A target that has accepted a connection isn't checked again for this long, in milliseconds, since each connection has a cost. */
private const val RECHECK_PAUSE_MS = 200L

/** Time in milliseconds after the beginning of a response in which the crash of the target accuses the parts of the call. */
private const val ACCUSING_MS = 1_000L

/** Number of parts that are remembered of one crash: a target has some tens of calls with a few parts each. */
private const val MAX_PARTS = 64

/** Number of crashes that are remembered; a report of them fits into a datagram. */
private const val MAX_CRASHES = 16

/** Tests whether an address accepts a connection. */
internal fun interface ReachabilityCheck {
    fun check(
        address: InetSocketAddress,
        done: (Boolean) -> Unit,
    )
}

/** Describes a crash at [at] of [target], its id and start time, which had calls of this instance with [parts]. */
internal class ObservedCrash(
    val target: String,
    val at: Long,
    val parts: Set<String>,
)

/** Detects crashes of [targets] that have calls of this instance, and calls [onCrash] for each and when more of its calls are found. */
internal class CrashDetector(
    private val scheduler: Scheduler,
    private val targets: TargetTable,
    private val reachability: ReachabilityCheck,
    private val onCrash: () -> Unit,
) {
    private enum class State { Checking, Crashed, Reachable }

    private class Loss(
        val at: Long,
    ) {
        val parts = LinkedHashSet<String>()
        var state = State.Checking
        var reachableAt = 0L
    }

    private val losses = LinkedHashMap<String, Loss>()

    /**
     * Records that [target] closed the connection of a call with [parts] before the response, which began at [respondedAt], was complete.
     * A part that ends targets does so as they begin to respond, so a call that has been answered for a while accuses none.
     */
    fun callLost(
        target: TargetState,
        parts: List<String>,
        respondedAt: Long?,
        now: Long,
    ) {
        // A target that drains or is removed may end with calls as planned.
        if (parts.isEmpty() || !target.entry.isReady || targets[target.id] !== target) return
        if (respondedAt != null && now - respondedAt > ACCUSING_MS) return
        val key = "${target.id}/${target.entry.startedAt}"
        val known = losses[key]
        if (known == null || (known.state == State.Reachable && now - known.reachableAt >= RECHECK_PAUSE_MS)) {
            begin(key, target, parts, now)
        } else if (known.state != State.Reachable && add(known, parts) && known.state == State.Crashed) {
            onCrash()
        }
    }

    private fun add(
        loss: Loss,
        parts: List<String>,
    ): Boolean = parts.fold(false) { isChanged, part -> (loss.parts.size < MAX_PARTS && loss.parts.add(part)) || isChanged }

    private fun begin(
        key: String,
        target: TargetState,
        parts: List<String>,
        now: Long,
    ) {
        removeOld(now)
        val loss = Loss(now)
        add(loss, parts)
        losses.remove(key)
        losses[key] = loss
        reachability.check(target.entry.address) { isReachable -> checked(key, target, loss, isReachable) }
    }

    private fun checked(
        key: String,
        target: TargetState,
        loss: Loss,
        isReachable: Boolean,
    ) {
        if (isReachable) {
            loss.state = State.Reachable
            loss.reachableAt = scheduler.now()
            return
        }
        loss.state = State.Crashed
        target.health.markSuspect()
        log.event(Level.INFO, "target-crashed", "target" to key, "sharedParts" to loss.parts.joinToString(",")) {
            "target has closed its connections with calls and accepts no new ones"
        }
        onCrash()
    }

    private fun removeOld(now: Long) {
        losses.values.removeIf { it.state != State.Checking && now - it.at > EVIDENCE_WINDOW_MS }
        if (losses.size >= MAX_CRASHES) losses.remove(losses.keys.first())
    }

    /** Returns the crashes of the last [EVIDENCE_WINDOW_MS]. */
    fun crashes(now: Long): List<ObservedCrash> = losses
        .filterValues { it.state == State.Crashed && now - it.at <= EVIDENCE_WINDOW_MS }
        .map { (key, loss) -> ObservedCrash(key, loss.at, loss.parts) }
}
