/*
 * The objects themselves. One revision numbers all changes, so all of them share one lock.
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

/** Tells that the condition of a write did not hold; [currentVersion] is 0 when there is no object. */
internal data class VersionConflict(
    val currentVersion: Long,
)

/** Bounds of the changes that are kept for watches: their number, and the characters of their values. */
internal data class HistoryLimits(
    val changes: Int,
    val characters: Long,
)

internal class ObjectTable {
    private val lock = Any()
    private val objects = sortedMapOf<String, MutableMap<String, StoredRecord>>()

    /** Last version of each name, also of removed objects, so that a version never names two states of an object. */
    private val versions = HashMap<Pair<String, String>, Long>()
    private val history = ArrayDeque<StoredRecord>()
    private var historyCharacters = 0L
    private val lastChange = HashMap<String, Long>()
    private var forgottenUpTo = 0L
    private val revisions = MutableStateFlow(0L)

    /** Follows the revision of the last change. */
    val revision: StateFlow<Long> = revisions.asStateFlow()

    fun getOrNull(
        kind: String,
        name: String,
    ): StoredRecord? = synchronized(lock) { objects[kind]?.get(name) }

    fun list(kinds: Collection<String>): RecordList =
        synchronized(lock) { RecordList(revisions.value, kinds.distinct().flatMap { objects[it]?.values.orEmpty() }) }

    fun countByKind(): Map<String, Int> = synchronized(lock) { objects.mapValues { it.value.size } }

    /** Writes [value], or removes the object when it is `null`. [ifVersion] is the condition; see the object API. */
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
        val named = objects.getOrPut(kind) { sortedMapOf() }
        if (value == null) named.remove(name) else named[name] = record
        remember(record, limits)
        return Ok(record)
    }

    /** Returns the changes of [kinds] after revision [after], or `null` when that part of the history is gone. */
    fun changesOrNull(
        kinds: Collection<String>,
        after: Long,
    ): RecordList? = synchronized(lock) {
        val now = revisions.value
        if (after < forgottenUpTo || after > now) return null
        if (kinds.none { (lastChange[it] ?: 0) > after }) return RecordList(now, emptyList())
        val changes = history.subList(firstAfter(after), history.size).filter { it.kind in kinds }
        return RecordList(now, changes)
    }

    /** Drops the whole history, so that each watch from an earlier revision has to list anew. */
    fun forgetHistory() {
        synchronized(lock) {
            history.clear()
            historyCharacters = 0
            forgottenUpTo = revisions.value
        }
    }

    private fun firstAfter(after: Long): Int = (after - forgottenUpTo).toInt()

    private fun remember(
        record: StoredRecord,
        limits: HistoryLimits,
    ) {
        history.addLast(record)
        historyCharacters += record.characters
        lastChange[record.kind] = record.revision
        while (history.size > limits.changes || historyCharacters > limits.characters) {
            val oldest = history.removeFirst()
            historyCharacters -= oldest.characters
            forgottenUpTo = oldest.revision
        }
        revisions.value = record.revision
    }
}

private val StoredRecord.characters: Int get() = value?.length ?: 0
