/*
 * Pulls the records of a peer that is ahead, page by page.
 */
package io.skylarkstile.entry.snapshot

import io.skylarkstile.schema.generated.SnapshotPull
import io.skylarkstile.schema.generated.SnapshotPush
import io.skylarkstile.schema.generated.StoredRecord

/** Pulls that start anew because the peer's revision has moved between pages, before this one is given up. */
private const val MAX_RESTARTS = 5

/** Holds all pages of one revision. */
internal class PulledRecords(
    val after: Long,
    val revision: Long,
    val complete: Boolean,
    val records: List<StoredRecord>,
    val leavingTargets: Set<String>,
) {
    /** Returns [state] with these records, or [state] itself when it knows as much. */
    fun addTo(state: SnapshotState): SnapshotState =
        if (complete) state.listed(records, revision) else state.changed(records, after, revision)
}

/** Pulls what the peer knows after [after]; `null` when a page is missing or the peer's records keep changing. */
internal suspend fun pull(
    after: Long,
    ask: suspend (SnapshotPull) -> SnapshotPush?,
): PulledRecords? {
    repeat(MAX_RESTARTS) {
        val first = ask(SnapshotPull(after, 0)) ?: return null
        val records = first.records.toMutableList()
        var last = first
        while (last.more && last.revision == first.revision && last.complete == first.complete) {
            last = ask(SnapshotPull(after, records.size)) ?: return null
            if (last.revision == first.revision && last.more && last.records.isEmpty()) return null
            records += last.records
        }
        if (last.revision == first.revision && last.complete == first.complete) {
            return PulledRecords(after, first.revision, first.complete, records, first.leavingTargets.toSet())
        }
    }
    return null
}
