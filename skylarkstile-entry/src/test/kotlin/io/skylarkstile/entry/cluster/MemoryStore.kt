/*
 * Implements the object API in memory for the cluster tests, with simulated outages.
 */
package io.skylarkstile.entry.cluster

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.skylarkstile.schema.generated.StoredRecord
import io.skylarkstile.transport.platform.ListedInstance
import io.skylarkstile.transport.platform.ObjectStore
import io.skylarkstile.transport.platform.RecordList
import io.skylarkstile.transport.platform.StoreError

/** Stores objects in [records], which several instances share. Each store can be made unreachable separately. */
internal class MemoryStore(
    private val records: HashMap<Pair<String, String>, StoredRecord> = HashMap(),
) : ObjectStore {
    /** Returns another store with the same objects. */
    fun view() = MemoryStore(records)

    @Volatile
    var down = false

    @Volatile
    var calls = 0
        private set

    private fun <T> call(block: () -> Result<T, StoreError>): Result<T, StoreError> = synchronized(records) {
        calls++
        if (down) Err(StoreError.Unavailable("down", mayHaveApplied = false)) else block()
    }

    override suspend fun get(
        kind: String,
        name: String,
    ) = call { Ok(records[kind to name]) }

    override suspend fun put(
        kind: String,
        name: String,
        value: String,
        ifVersion: Long?,
    ) = call {
        val version = records[kind to name]?.version ?: 0
        if (ifVersion != null && ifVersion != version) return@call Err(StoreError.Conflict(version))
        Ok(StoredRecord(kind, name, version + 1, 0, value).also { records[kind to name] = it })
    }

    override suspend fun list(kinds: List<String>): Result<RecordList, StoreError> = unused()

    override suspend fun delete(
        kind: String,
        name: String,
        ifVersion: Long?,
    ): Result<Unit, StoreError> = unused()

    override suspend fun watch(
        kinds: List<String>,
        after: Long,
        waitMs: Long,
    ): Result<RecordList, StoreError> = unused()

    override suspend fun instances(): Result<List<ListedInstance>, StoreError> = unused()

    private fun unused(): Nothing = throw UnsupportedOperationException("not used by the membership")
}
