/*
 * Table of the stored records of one revision in decoded form. An unreadable record is left out of the snapshot and reported,
 * so that one invalid record does not stop an instance.
 */
package io.skylarkstile.config.record

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.schema.generated.StoredRecord

/** Describes a stored record that is left out of the snapshot, and the reason. */
data class UnreadableRecord(
    val kind: String,
    val name: String,
    val version: Long,
    val problem: String,
)

/** Holds stored records with their decoded forms; immutable. */
class RecordTable private constructor(
    private val rows: Map<Pair<String, String>, Row>,
) {
    private class Row(
        val stored: StoredRecord,
        val record: Record?,
        val problem: String?,
    )

    /** Returns all stored records, sorted by kind and name so that the pages of one revision are consistent. */
    val stored: List<StoredRecord> by lazy { rows.values.map { it.stored }.sortedWith(compareBy({ it.kind }, { it.name })) }

    /** Returns the records that are left out of the snapshot. */
    val unreadable: List<UnreadableRecord> by lazy {
        rows.values.mapNotNull { row ->
            row.problem?.let { UnreadableRecord(row.stored.kind, row.stored.name, row.stored.version, it) }
        }
    }

    /** Returns the decoded records by id. */
    fun records(): Map<RecordId, Record> = rows.values
        .mapNotNull { row ->
            row.record?.let { RecordId(checkNotNull(RecordKind.ofLabelOrNull(row.stored.kind)), row.stored.name) to it }
        }.toMap()

    /** Returns the stored form of a record. */
    fun storedOrNull(id: RecordId): StoredRecord? = rows[id.kind.label to id.name]?.stored

    /** Returns a table with [changes] applied: a record without a value is removed, and a change with an older revision is skipped. */
    fun with(changes: List<StoredRecord>): RecordTable {
        if (changes.isEmpty()) return this
        val next = LinkedHashMap(rows)
        for (change in changes) {
            val key = change.kind to change.name
            val present = next[key]
            when {
                present != null && present.stored.revision > change.revision -> continue
                change.value == null -> next.remove(key)
                present?.stored != change -> next[key] = row(change)
            }
        }
        return RecordTable(next)
    }

    /** Returns a table of exactly [records]; only records that differ from those of this table are decoded. */
    fun replacedBy(records: List<StoredRecord>): RecordTable {
        val next = LinkedHashMap<Pair<String, String>, Row>(records.size * 2)
        for (record in records) {
            if (record.value == null) continue
            val key = record.kind to record.name
            next[key] = rows[key]?.takeIf { it.stored == record } ?: row(record)
        }
        return RecordTable(next)
    }

    /** Builds the snapshot of [revision]. */
    fun snapshot(
        revision: Long,
        leavingTargets: Set<String>,
    ): Snapshot = Snapshot(
        revision = revision,
        workspaces = recordsOf { (it as? Record.Workspace)?.record },
        keys = recordsOf { (it as? Record.Key)?.record },
        adapters = recordsOf { (it as? Record.Adapter)?.record },
        versions = recordsOf { (it as? Record.Version)?.record },
        routes = recordsOf { (it as? Record.Route)?.record },
        targets = recordsOf { (it as? Record.Target)?.record },
        leavingTargets = leavingTargets,
    )

    private fun <T : Any> recordsOf(extract: (Record) -> T?): Map<String, T> {
        val selected = HashMap<String, T>()
        for (row in rows.values) row.record?.let(extract)?.let { selected[row.stored.name] = it }
        return selected
    }

    companion object {
        /** Table without records. */
        val empty: RecordTable = RecordTable(emptyMap())

        private fun row(stored: StoredRecord): Row {
            val kind = RecordKind.ofLabelOrNull(stored.kind) ?: return Row(stored, null, "kind is not known")
            val result = readStoredRecord(kind, stored.name, checkNotNull(stored.value))
            return Row(stored, result.get(), result.getError())
        }
    }
}
