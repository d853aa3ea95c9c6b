/*
 * Stores the objects and the history of changes. All changes are numbered by one revision counter, so they share one lock.
 */
package io.skylarkstile.standin.objects

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.skylarkstile.schema.generated.StoredRecord
import io.skylarkstile.transport.platform.RecordList
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow

/** Reports that the version condition of a write did not hold; [currentVersion] is 0 if the object does not exist. */
internal data class VersionConflict(
    val currentVersion: Long,
)

/** Limits the history kept for watches: the number of changes and the total characters of their values. */
internal data class HistoryLimits(
    val changes: Int,
    val characters: Long,
)

/** Holds the objects and their history; safe for concurrent use. */
internal class ObjectTable {
    private val lock = Any()
    private val objects = sortedMapOf<String, MutableMap<String, StoredRecord>>()

    /** Last version of each object, including removed ones, so that a version number is never reused. */
    private val versions = HashMap<Pair<String, String>, Long>()
    private val history = ArrayDeque<StoredRecord>()
    private var historyCharacters = 0L
    private val lastChange = HashMap<String, Long>()
    private var droppedUpTo = 0L
    private val revisions = MutableStateFlow(0L)

    /** Emits the revision of the latest change. */
    val revision: StateFlow<Long> = revisions.asStateFlow()

    fun getOrNull(
        kind: String,
        name: String,
    ): StoredRecord? = synchronized(lock) { objects[kind]?.get(name) }

    fun list(kinds: Collection<String>): RecordList =
        synchronized(lock) { RecordList(revisions.value, kinds.distinct().flatMap { objects[it]?.values.orEmpty() }) }

    fun countByKind(): Map<String, Int> = synchronized(lock) { objects.mapValues { it.value.size } }

    /**
     * Writes [value], or removes the object if it is `null`. If [ifVersion] is given, the object must have that version; 0 means that it
     * must not exist.
     */
    fun write(
        kind: String,
        name: String,
        value: String?,
        ifVersion: Long?,
        limits: HistoryLimits,
    ): Result<StoredRecord, VersionConflict> = synchronized(lock) {
        val current = objects[kind]?.get(name)?.version ?: 0
        if (ifVersion != null && ifVersion != current) return Err(VersionConflict(current))
        val version = (versions[kind to name] ?: 0) + 1
        val record = StoredRecord(kind, name, version, revisions.value + 1, value)
        versions[kind to name] = version
        val objectsOfKind = objects.getOrPut(kind) { sortedMapOf() }
        if (value == null) objectsOfKind.remove(name) else objectsOfKind[name] = record
        appendToHistory(record, limits)
        return Ok(record)
    }

    /** Returns the changes of [kinds] after revision [after], or `null` if the history does not cover it. */
    fun changesOrNull(
        kinds: Collection<String>,
        after: Long,
    ): RecordList? = synchronized(lock) {
        val now = revisions.value
        if (after < droppedUpTo || after > now) return null
        if (kinds.none { (lastChange[it] ?: 0) > after }) return RecordList(now, emptyList())
        val changes = history.subList(indexAfter(after), history.size).filter { it.kind in kinds }
        return RecordList(now, changes)
    }

    /** Clears the history, so that clients watching from an earlier revision have to list again. */
    fun forgetHistory() {
        synchronized(lock) {
            history.clear()
            historyCharacters = 0
            droppedUpTo = revisions.value
        }
    }

    private fun indexAfter(after: Long): Int = (after - droppedUpTo).toInt()

    private fun appendToHistory(
        record: StoredRecord,
        limits: HistoryLimits,
    ) {
        history.addLast(record)
        historyCharacters += record.characters
        lastChange[record.kind] = record.revision
        while (history.size > limits.changes || historyCharacters > limits.characters) {
            val oldest = history.removeFirst()
            historyCharacters -= oldest.characters
            droppedUpTo = oldest.revision
        }
        revisions.value = record.revision
    }
}

private val StoredRecord.characters: Int get() = value?.length ?: 0
