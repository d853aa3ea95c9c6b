/*
 * The platform's object API as this system uses it. Each call counts against the platform's rates, a waiting watch as one.
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

    /** Returns all objects of [kinds] with the revision of the whole store at that moment. */
    suspend fun list(kinds: List<String>): Result<RecordList, StoreError>

    /** Writes an object. [ifVersion] 0 creates only, a positive number replaces only that version, `null` writes without a condition. */
    suspend fun put(
        kind: String,
        name: String,
        value: String,
        ifVersion: Long?,
    ): Result<StoredRecord, StoreError>

    /** Removes an object under the same condition as [put]. */
    suspend fun delete(
        kind: String,
        name: String,
        ifVersion: Long?,
    ): Result<Unit, StoreError>

    /** Waits up to [waitMs] milliseconds for changes of [kinds] after revision [after]. A removed object has no value. */
    suspend fun watch(
        kinds: List<String>,
        after: Long,
        waitMs: Long,
    ): Result<RecordList, StoreError>

    /** Returns the platform's lagging list of instances. */
    suspend fun instances(): Result<List<ListedInstance>, StoreError>
}

/** Objects together with the revision of the store they were read at. */
@Serializable
data class RecordList(
    val revision: Long,
    val records: List<StoredRecord>,
)

/** One line of the platform's instance list; [state] is `live` or `leaving`. */
@Serializable
data class ListedInstance(
    val instance: String,
    val address: String,
    val dataCentre: String,
    val state: String,
)

/** Tells why a call to the object API failed. */
sealed interface StoreError {
    /** The condition did not hold; [currentVersion] is 0 when there is no object. */
    data class Conflict(
        val currentVersion: Long,
    ) : StoreError

    /** The request was rejected as it is: too large, malformed. */
    data class Rejected(
        val detail: String,
    ) : StoreError

    /** The platform's rate is exhausted; nothing was changed. */
    data object Throttled : StoreError

    /** The history after the watched revision is gone: list anew. */
    data object HistoryGone : StoreError

    /** No answer. A write [mayHaveApplied] when the request was sent and its answer is missing. */
    data class Unavailable(
        val detail: String,
        val mayHaveApplied: Boolean,
    ) : StoreError
}
