/*
 * Holds the records that an instance knows, and the rules for updating them. Updates never lead to a lower revision.
 */
package io.skylarkstile.entry.snapshot

import io.skylarkstile.config.record.RecordTable
import io.skylarkstile.schema.generated.SnapshotPush
import io.skylarkstile.schema.generated.StoredRecord

/** Maximum number of removals kept for peers with an older snapshot; there are about 470 changes of all kinds per day. */
private const val MAX_REMOVALS = 1_000

/** Maximum number of records in one page of a pull. */
private const val PAGE_RECORDS = 500

/** Maximum length of all values in one page in characters; leaves room for the envelope and non-ASCII text in a frame of 1 MiB. */
private const val PAGE_CHARS = 300_000

/**
 * Holds the records of one revision.
 *
 * [revision] is the revision of the last known record change and is announced to peers. The platform's revision also counts changes of
 * other objects, so [knownRevision] may be higher: no record changed between the two. [removals] contains all removals after
 * [removalsSince].
 */
internal data class SnapshotState(
    val table: RecordTable = RecordTable.empty,
    val revision: Long = 0,
    val knownRevision: Long = 0,
    val removals: List<StoredRecord> = emptyList(),
    val removalsSince: Long = 0,
) {
    /**
     * Returns the state with [records], the complete list of records at [listRevision], or this state when it is at least as new. A list
     * without changes keeps the revision, so that peers do not pull the same records again.
     */
    fun withList(
        records: List<StoredRecord>,
        listRevision: Long,
    ): SnapshotState {
        if (listRevision <= knownRevision) return this
        val next = table.replacedBy(records)
        val isUnchanged = knownRevision > 0 && next.stored == table.stored
        return SnapshotState(
            if (isUnchanged) table else next,
            if (isUnchanged) revision else listRevision,
            listRevision,
            emptyList(),
            listRevision,
        )
    }

    /**
     * Returns the state with [changes], all changes after revision [after] up to [upTo]. Returns this state when it is at least as new, or
     * when [after] is beyond [knownRevision], which would leave a gap.
     */
    fun withChanges(
        changes: List<StoredRecord>,
        after: Long,
        upTo: Long,
    ): SnapshotState {
        if (upTo <= knownRevision || after > knownRevision) return this
        val newChanges = changes.filter { it.revision > knownRevision }
        if (newChanges.isEmpty()) return copy(knownRevision = upTo)
        val allRemovals = (removals + newChanges.filter { it.value == null })
        val discardedRemovals = allRemovals.dropLast(MAX_REMOVALS)
        return SnapshotState(
            table = table.with(newChanges),
            revision = newChanges.maxOf { it.revision },
            knownRevision = upTo,
            removals = allRemovals.takeLast(MAX_REMOVALS),
            removalsSince = maxOf(removalsSince, discardedRemovals.maxOfOrNull { it.revision } ?: 0),
        )
    }

    /**
     * Returns the page that starts at record [offset] for a peer that knows all changes up to [after]. The pages contain the later changes,
     * or all records when the removals kept here do not go back to [after].
     */
    fun page(
        after: Long,
        offset: Int,
        leavingTargets: Set<String>,
    ): SnapshotPush {
        val complete = after < removalsSince && after < revision
        val all =
            when {
                after >= revision -> emptyList()
                complete -> table.stored
                else -> table.stored.filter { it.revision > after } + removals.filter { it.revision > after && isStillRemoved(it) }
            }
        val records = takePage(all.drop(offset.coerceAtLeast(0)))
        return SnapshotPush(revision, complete, offset + records.size < all.size, records, leavingTargets.sorted())
    }

    private fun isStillRemoved(removal: StoredRecord): Boolean = table.stored.none { it.kind == removal.kind && it.name == removal.name }

    private fun takePage(records: List<StoredRecord>): List<StoredRecord> {
        var chars = 0
        return records.take(PAGE_RECORDS).takeWhile { record ->
            val first = chars == 0
            chars += 1 + (record.value?.length ?: 0)
            first || chars <= PAGE_CHARS
        }
    }
}
