/*
 * Keeps the newest snapshot of an instance and tells its listeners of each change.
 */
package io.skylarkstile.entry.snapshot

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.config.record.UnreadableRecord
import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.core.snapshot.SnapshotSource
import java.util.concurrent.CopyOnWriteArrayList

private val log = KotlinLogging.logger {}

/** Is safe for use by several threads. Listeners see snapshots in the order of their revisions. */
internal class SnapshotPublisher : SnapshotSource {
    private val listeners = CopyOnWriteArrayList<(Snapshot) -> Unit>()
    private val stateLock = Any()
    private val deliveryLock = Any()
    private var delivered = Snapshot()
    private val leavingReports = LinkedHashMap<String, Set<String>>()

    @Volatile
    private var snapshot = Snapshot()

    /** Is the newest state. */
    @Volatile
    var state = SnapshotState()
        private set

    override fun current(): Snapshot = snapshot

    /** Returns up to which revision [current] is known to be the newest; the lock keeps it from running ahead of [current]. */
    fun knownRevision(): Long = synchronized(stateLock) { state.knownRevision }

    override fun onChange(listener: (Snapshot) -> Unit) {
        listeners += listener
    }

    /** Replaces the state by [transform] of it, when that knows more. Returns whether a record may have changed. */
    fun update(transform: (SnapshotState) -> SnapshotState): Boolean {
        val (before, after) =
            synchronized(stateLock) {
                val before = state
                val after = transform(before)
                check(after.knownRevision >= before.knownRevision && after.revision >= before.revision) { "a snapshot never goes back" }
                state = after
                if (after.revision > before.revision) snapshot = after.table.snapshot(after.revision, snapshot.leavingTargets)
                before to after
            }
        if (after.revision == before.revision) return false
        logChange(before, after)
        deliver()
        return true
    }

    /** Notes the leaving targets that [poller] has seen; reports of instances outside [pollers] are dropped. */
    fun updateLeavingTargets(
        poller: String,
        targets: Set<String>,
        pollers: Set<String>,
    ) {
        val changed =
            synchronized(stateLock) {
                leavingReports.keys.retainAll(pollers + poller)
                leavingReports[poller] = targets
                val allLeaving = leavingReports.values.flatten().toSet()
                (allLeaving != snapshot.leavingTargets).also { if (it) snapshot = snapshot.copy(leavingTargets = allLeaving) }
            }
        if (changed) deliver()
    }

    /** Returns whether any report on leaving targets has arrived. */
    fun hasLeavingReports(): Boolean = synchronized(stateLock) { leavingReports.isNotEmpty() }

    private fun deliver() = synchronized(deliveryLock) {
        val newest = snapshot
        if (newest !== delivered) {
            delivered = newest
            listeners.forEach { runCatching { it(newest) }.onFailure(::logFailure) }
        }
    }

    private fun logFailure(cause: Throwable) =
        log.event(Level.ERROR, "snapshot-listener-failed", cause = cause) { "a listener of the snapshot failed" }

    private fun logChange(
        before: SnapshotState,
        after: SnapshotState,
    ) {
        log.event(Level.INFO, "snapshot-changed", "revision" to after.revision, "records" to after.table.stored.size) {
            "records of revision ${after.revision} are in force"
        }
        (after.table.unreadable - before.table.unreadable.toSet()).forEach(::logUnreadable)
    }

    private fun logUnreadable(record: UnreadableRecord) =
        log.event(Level.WARN, "record-unreadable", "kind" to record.kind, "name" to record.name, "version" to record.version) {
            "${record.kind} ${record.name} is left out: ${record.problem}"
        }
}
