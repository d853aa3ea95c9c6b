/*
 * Holds the newest snapshot of an instance and notifies listeners of changes.
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

/** Publishes snapshots to listeners in the order of their revisions. Thread-safe. */
internal class SnapshotPublisher : SnapshotSource {
    private val listeners = CopyOnWriteArrayList<(Snapshot) -> Unit>()
    private val stateLock = Any()
    private val deliveryLock = Any()
    private var delivered = Snapshot()
    private val leavingReports = LinkedHashMap<String, Set<String>>()

    @Volatile
    private var snapshot = Snapshot()

    /** The newest state. */
    @Volatile
    var state = SnapshotState()
        private set

    override fun current(): Snapshot = snapshot

    /** Returns the revision up to which [current] is known to be unchanged. The lock keeps the value from running ahead of [current]. */
    fun knownRevision(): Long = synchronized(stateLock) { state.knownRevision }

    override fun onChange(listener: (Snapshot) -> Unit) {
        listeners += listener
    }

    /** Replaces the state by the result of [transform], which must not be older. Returns whether a record may have changed. */
    fun update(transform: (SnapshotState) -> SnapshotState): Boolean {
        val (before, after) =
            synchronized(stateLock) {
                val before = state
                val after = transform(before)
                check(after.knownRevision >= before.knownRevision && after.revision >= before.revision) {
                    "a snapshot must not be replaced by an older one"
                }
                state = after
                if (after.revision > before.revision) snapshot = after.table.snapshot(after.revision, snapshot.leavingTargets)
                before to after
            }
        if (after.revision == before.revision) return false
        logChange(before, after)
        deliver()
        return true
    }

    /** Replaces the report of leaving targets by [poller], and discards the reports of instances that are not in [pollers]. */
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

    /** Returns whether any report of leaving targets is known. */
    fun hasLeavingReports(): Boolean = synchronized(stateLock) { leavingReports.isNotEmpty() }

    private fun deliver() = synchronized(deliveryLock) {
        val newest = snapshot
        if (newest !== delivered) {
            delivered = newest
            listeners.forEach { runCatching { it(newest) }.onFailure(::logFailure) }
        }
    }

    private fun logFailure(cause: Throwable) =
        log.event(Level.ERROR, "snapshot-listener-failed", cause = cause) { "a snapshot listener failed" }

    private fun logChange(
        before: SnapshotState,
        after: SnapshotState,
    ) {
        log.event(Level.INFO, "snapshot-changed", "revision" to after.revision, "records" to after.table.stored.size) {
            "the snapshot of revision ${after.revision} is in force"
        }
        (after.table.unreadable - before.table.unreadable.toSet()).forEach(::logUnreadable)
    }

    private fun logUnreadable(record: UnreadableRecord) =
        log.event(Level.WARN, "record-unreadable", "kind" to record.kind, "name" to record.name, "version" to record.version) {
            "${record.kind} ${record.name} is ignored: ${record.problem}"
        }
}
