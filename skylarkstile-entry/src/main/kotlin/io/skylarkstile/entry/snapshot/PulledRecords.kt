/*
 * Pulls records page by page from a peer with a newer snapshot.
 */
package io.skylarkstile.entry.snapshot

import io.skylarkstile.schema.generated.SnapshotPull
import io.skylarkstile.schema.generated.SnapshotPush
import io.skylarkstile.schema.generated.StoredRecord

/** Number of attempts at a pull. An attempt fails when the peer's revision changes between pages. */
private const val MAX_PULL_ATTEMPTS = 5

/** Holds the records of all pages of a pull, which belong to one [revision]. */
internal class PulledRecords(
    val after: Long,
    val revision: Long,
    val complete: Boolean,
    val records: List<StoredRecord>,
    val leavingTargets: Set<String>,
) {
    /** Returns [state] updated with these records, or [state] itself when it is at least as new. */
    fun applyTo(state: SnapshotState): SnapshotState =
        if (complete) state.withList(records, revision) else state.withChanges(records, after, revision)
}

/** Pulls the changes after revision [after]. Returns `null` when a page cannot be fetched or the peer's records keep changing. */
internal suspend fun pull(
    after: Long,
    requestPage: suspend (SnapshotPull) -> SnapshotPush?,
): PulledRecords? {
    repeat(MAX_PULL_ATTEMPTS) {
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
