/*
 * Client interface of the platform's object API. Each call counts against the platform's rate limits; a watch counts as one call.
 */
package io.skylarkstile.transport.platform

import com.github.michaelbull.result.Result
import io.skylarkstile.schema.generated.StoredRecord
import kotlinx.serialization.Serializable

/** Reads and writes objects; [StoredRecord.value] is JSON text of at most 1 MB. */
interface ObjectStore {
    /** Returns the object, or `null` when there is none. */
    suspend fun get(
        kind: String,
        name: String,
    ): Result<StoredRecord?, StoreError>

    /** Returns all objects of [kinds] and the revision of the store at which they were read. */
    suspend fun list(kinds: List<String>): Result<RecordList, StoreError>

    /** Writes an object: [ifVersion] 0 only creates, a positive number only replaces that version, `null` writes unconditionally. */
    suspend fun put(
        kind: String,
        name: String,
        value: String,
        ifVersion: Long?,
    ): Result<StoredRecord, StoreError>

    /** Deletes an object; [ifVersion] is the same condition as in [put]. */
    suspend fun delete(
        kind: String,
        name: String,
        ifVersion: Long?,
    ): Result<Unit, StoreError>

    /** Waits up to [waitMs] milliseconds for changes of [kinds] after revision [after]. A deleted object has no value. */
    suspend fun watch(
        kinds: List<String>,
        after: Long,
        waitMs: Long,
    ): Result<RecordList, StoreError>

    /** Returns the platform's list of instances, which lags behind the actual state. */
    suspend fun instances(): Result<List<ListedInstance>, StoreError>
}

/** Holds objects and the revision of the store at which they were read. */
@Serializable
data class RecordList(
    val revision: Long,
    val records: List<StoredRecord>,
)

/** Describes one entry of the platform's instance list; [state] is `live` or `leaving`. */
@Serializable
data class ListedInstance(
    val instance: String,
    val address: String,
    val dataCentre: String,
    val state: String,
)

/** Describes why a call to the object API failed. */
sealed interface StoreError {
    /** The version condition did not hold; [currentVersion] is 0 when the object does not exist. */
    data class Conflict(
        val currentVersion: Long,
    ) : StoreError

    /** The request is invalid, for example too large or malformed; a retry fails as well. */
    data class Rejected(
        val detail: String,
    ) : StoreError

    /** The platform's rate limit is exceeded; nothing was changed. */
    data object Throttled : StoreError

    /** The changes after the watched revision are no longer available: call [ObjectStore.list] again. */
    data object HistoryGone : StoreError

    /** No valid response. [mayHaveApplied] is set for a write whose request was sent and whose outcome is unknown. */
    data class Unavailable(
        val detail: String,
        val mayHaveApplied: Boolean,
    ) : StoreError
}
