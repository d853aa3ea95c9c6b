/*
 * Implements an object store in memory with simulated outages and lost answers, for the ledger tests.
 */
package io.skylarkstile.entry.ledger

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.skylarkstile.schema.generated.StoredRecord
import io.skylarkstile.transport.platform.ListedInstance
import io.skylarkstile.transport.platform.ObjectStore
import io.skylarkstile.transport.platform.RecordList
import io.skylarkstile.transport.platform.StoreError
import kotlinx.coroutines.delay

/** Fault injected into one write. */
internal enum class WriteFault { NONE, LOST_BEFORE, LOST_AFTER, REFUSED }

internal class MemoryStore : ObjectStore {
    private val objects = HashMap<String, StoredRecord>()

    @Volatile
    var outage = false

    /** Returns the fault to inject into a write, given the name of the object. */
    @Volatile
    var fault: (String) -> WriteFault = { WriteFault.NONE }

    @Volatile
    var writes = 0

    private val down get() = Err(StoreError.Unavailable("outage", mayHaveApplied = false))

    override suspend fun get(
        kind: String,
        name: String,
    ): Result<StoredRecord?, StoreError> {
        delay(1)
        return if (outage) down else synchronized(objects) { Ok(objects["$kind/$name"]) }
    }

    override suspend fun put(
        kind: String,
        name: String,
        value: String,
        ifVersion: Long?,
    ): Result<StoredRecord, StoreError> {
        delay(1)
        val chosen = fault(name)
        return when {
            outage || chosen == WriteFault.REFUSED -> down
            chosen == WriteFault.LOST_BEFORE -> Err(StoreError.Unavailable("lost", mayHaveApplied = true))
            chosen == WriteFault.LOST_AFTER ->
                write("$kind/$name", kind, name, value, ifVersion).let { Err(StoreError.Unavailable("lost", mayHaveApplied = true)) }
            else -> write("$kind/$name", kind, name, value, ifVersion)
        }
    }

    private fun write(
        path: String,
        kind: String,
        name: String,
        value: String,
        ifVersion: Long?,
    ): Result<StoredRecord, StoreError> = synchronized(objects) {
        val version = objects[path]?.version ?: 0
        if (ifVersion != null && ifVersion != version) return Err(StoreError.Conflict(version))
        writes++
        Ok(StoredRecord(kind, name, version + 1, writes.toLong(), value).also { objects[path] = it })
    }

    override suspend fun delete(
        kind: String,
        name: String,
        ifVersion: Long?,
    ): Result<Unit, StoreError> = synchronized(objects) { Ok(Unit).also { objects.remove("$kind/$name") } }

    override suspend fun list(kinds: List<String>): Result<RecordList, StoreError> = error("not used")

    override suspend fun watch(
        kinds: List<String>,
        after: Long,
        waitMs: Long,
    ): Result<RecordList, StoreError> = error("not used")

    override suspend fun instances(): Result<List<ListedInstance>, StoreError> = error("not used")
}
