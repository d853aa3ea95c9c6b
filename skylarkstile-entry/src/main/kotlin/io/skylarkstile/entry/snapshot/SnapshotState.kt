/*
 * The records that an instance knows, and the rules by which other records replace them. A state only ever moves to a higher revision.
 */
package io.skylarkstile.entry.snapshot

import io.skylarkstile.config.record.RecordTable
import io.skylarkstile.schema.generated.SnapshotPush
import io.skylarkstile.schema.generated.StoredRecord

/** Removals that are remembered for peers that are behind; a day brings about 470 changes in all. */
private const val MAX_REMOVALS = 1_000

/** Records in one page of a pull. */
private const val PAGE_RECORDS = 500

/** Values in one page in characters; leaves room for the envelope and for non-ASCII text within a frame of 1 MiB. */
private const val PAGE_CHARS = 300_000

/**
 * Holds the records of one revision.
 *
 * [revision] is what peers are told: the revision of the last known change of a record. The platform's revision also counts changes of
 * other objects, so [knownRevision] may be higher: up to [knownRevision] no record has changed since. [removals] is complete after [removalsSince].
 */
internal data class SnapshotState(
    val table: RecordTable = RecordTable.empty,
    val revision: Long = 0,
    val knownRevision: Long = 0,
    val removals: List<StoredRecord> = emptyList(),
    val removalsSince: Long = 0,
) {
    /**
     * Returns the state with all [records] of a list at [listRevision]; this state when it is as new. A list that brings no change leaves the
     * revision as it is, so that peers do not pull the same records again.
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
     * Returns the state with [changes], which are all changes after [after] and up to [upTo]. Changes that do not follow on what is known
     * are left out.
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

    /** Returns one page for a peer that knows everything up to [after]: the changes, or all records when a removal may be missing. */
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
