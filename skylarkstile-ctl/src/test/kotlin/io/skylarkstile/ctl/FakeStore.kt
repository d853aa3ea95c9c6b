/*
 * An in-memory object store with conditional writes and faults that a test injects.
 */
package io.skylarkstile.ctl

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.skylarkstile.schema.generated.StoredRecord
import io.skylarkstile.transport.platform.ListedInstance
import io.skylarkstile.transport.platform.ObjectStore
import io.skylarkstile.transport.platform.RecordList
import io.skylarkstile.transport.platform.StoreError

internal class FakeStore : ObjectStore {
    val objects = sortedMapOf<String, StoredRecord>()
    var revision = 0L

    /**
     * Called with `kind/name` before each write. A returned error becomes the response; if it is [StoreError.Unavailable] with
     * `mayHaveApplied`, the write takes effect nevertheless.
     */
    var beforePut: (String) -> StoreError? = { null }

    /** Makes every call fail as if the connection were refused. */
    var down = false

    fun value(key: String): String? = objects[key]?.value

    fun keys(): Set<String> = objects.keys

    fun forceWrite(
        kind: String,
        name: String,
        value: String,
    ): StoredRecord {
        val version = (objects["$kind/$name"]?.version ?: 0) + 1
        return StoredRecord(kind, name, version, ++revision, value).also { objects["$kind/$name"] = it }
    }

    override suspend fun get(
        kind: String,
        name: String,
    ): Result<StoredRecord?, StoreError> = answer { Ok(objects["$kind/$name"]) }

    override suspend fun list(kinds: List<String>): Result<RecordList, StoreError> =
        answer { Ok(RecordList(revision, objects.values.filter { it.kind in kinds })) }

    override suspend fun put(
        kind: String,
        name: String,
        value: String,
        ifVersion: Long?,
    ): Result<StoredRecord, StoreError> = answer {
        val fault = beforePut("$kind/$name")
        val current = objects["$kind/$name"]?.version ?: 0
        when {
            fault is StoreError.Unavailable && !fault.mayHaveApplied || fault is StoreError.Throttled -> Err(fault)
            ifVersion != null && ifVersion != current -> Err(fault ?: StoreError.Conflict(current))
            else -> forceWrite(kind, name, value).let { stored -> fault?.let { Err(it) } ?: Ok(stored) }
        }
    }

    override suspend fun delete(
        kind: String,
        name: String,
        ifVersion: Long?,
    ): Result<Unit, StoreError> = answer {
        val current = objects["$kind/$name"]?.version ?: 0
        if (ifVersion != null && ifVersion != current) return@answer Err(StoreError.Conflict(current))
        objects.remove("$kind/$name")
        revision++
        Ok(Unit)
    }

    override suspend fun watch(
        kinds: List<String>,
        after: Long,
        waitMs: Long,
    ): Result<RecordList, StoreError> = error("not used")

    override suspend fun instances(): Result<List<ListedInstance>, StoreError> = answer { Ok(emptyList()) }

    private inline fun <T> answer(block: () -> Result<T, StoreError>): Result<T, StoreError> =
        if (down) Err(StoreError.Unavailable("connection refused", false)) else block()
}
