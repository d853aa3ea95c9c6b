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
    fun applyTo(state: SnapshotState): SnapshotState =
        if (complete) state.withList(records, revision) else state.withChanges(records, after, revision)
}

/** Pulls what the peer knows after [after]; `null` when a page is missing or the peer's records keep changing. */
internal suspend fun pull(
    after: Long,
    requestPage: suspend (SnapshotPull) -> SnapshotPush?,
): PulledRecords? {
    repeat(MAX_RESTARTS) {
        val firstPage = requestPage(SnapshotPull(after, 0)) ?: return null
        val records = firstPage.records.toMutableList()
        var currentPage = firstPage
        while (currentPage.more && currentPage.revision == firstPage.revision && currentPage.complete == firstPage.complete) {
            currentPage = requestPage(SnapshotPull(after, records.size)) ?: return null
            if (currentPage.revision == firstPage.revision && currentPage.more && currentPage.records.isEmpty()) return null
            records += currentPage.records
        }
        if (currentPage.revision == firstPage.revision && currentPage.complete == firstPage.complete) {
            return PulledRecords(after, firstPage.revision, firstPage.complete, records, firstPage.leavingTargets.toSet())
        }
    }
    return null
}
