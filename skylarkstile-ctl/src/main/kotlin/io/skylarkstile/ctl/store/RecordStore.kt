/*
 * Reads and writes records with retries. Every write is conditional on the record's version. If the response to a write is lost, the
 * record is read back to find out whether it was written; if that fails too, the result is unknown.
 */
package io.skylarkstile.ctl.store

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import io.skylarkstile.config.record.RecordId
import io.skylarkstile.config.record.RecordKind
import io.skylarkstile.config.record.RecordTable
import io.skylarkstile.schema.generated.StoredRecord
import io.skylarkstile.schema.recordJson
import io.skylarkstile.transport.platform.ObjectStore
import io.skylarkstile.transport.platform.StoreError
import kotlinx.coroutines.delay

/** Delay before a throttled call is retried, in milliseconds; multiplied by the attempt number. */
private const val RETRY_PAUSE_MS = 100L

/** Maximum attempts at a throttled call: about 5 s of delays in total, longer than the platform throttles a single client. */
private const val THROTTLED_ATTEMPTS = 10

/** Maximum attempts at a write that gets no response. Each attempt waits for the full time limit, so there are few. */
private const val UNANSWERED_ATTEMPTS = 2

/** Describes the result of a write. */
internal sealed interface WriteOutcome {
    data class Written(
        val version: Long,
    ) : WriteOutcome

    /** The record was changed concurrently; [currentVersion] is 0 if it does not exist. */
    data class Conflict(
        val currentVersion: Long,
    ) : WriteOutcome

    data class NotWritten(
        val reason: String,
    ) : WriteOutcome

    /** The write may have taken effect: its response was lost, and reading the record back did not settle it. */
    data class Unknown(
        val reason: String,
    ) : WriteOutcome
}

/** Holds the current records as of [revision]. */
internal class CurrentRecords(
    val table: RecordTable,
    val revision: Long,
)

/** Calls [store] and retries calls that are safe to retry. */
internal class RecordStore(
    val store: ObjectStore,
) {
    /** Reads all records. */
    suspend fun readAll(): Result<CurrentRecords, String> = retryUnanswered { store.list(RecordKind.labels) }
        .map { CurrentRecords(RecordTable.empty.with(it.records), it.revision) }
        .mapError(::describe)

    /** Reads the stored form of one record, or `null` if it does not exist. */
    suspend fun read(
        kind: String,
        name: String,
    ): Result<StoredRecord?, String> = retryUnanswered { store.get(kind, name) }.mapError(::describe)

    /** Writes [text] if the record is still at [ifVersion]; 0 means that it must not exist yet. */
    suspend fun write(
        id: RecordId,
        text: String,
        ifVersion: Long,
    ): WriteOutcome = write(id, text, ifVersion, UNANSWERED_ATTEMPTS)

    /** Removes the record if it is still at [ifVersion]. */
    suspend fun remove(
        id: RecordId,
        ifVersion: Long,
    ): WriteOutcome = retryUnanswered { store.delete(id.kind.label, id.name, ifVersion) }.fold(
        { WriteOutcome.Written(0) },
        { error ->
            when (error) {
                // The record is already gone: an earlier attempt or another operator removed it.
                is StoreError.Conflict ->
                    if (error.currentVersion ==
                        0L
                    ) {
                        WriteOutcome.Written(0)
                    } else {
                        WriteOutcome.Conflict(error.currentVersion)
                    }
                is StoreError.Unavailable -> if (error.mayHaveApplied) WriteOutcome.Unknown(describe(error)) else notWritten(error)
                else -> notWritten(error)
            }
        },
    )

    private suspend fun write(
        id: RecordId,
        text: String,
        ifVersion: Long,
        attempts: Int,
    ): WriteOutcome = retryThrottled { store.put(id.kind.label, id.name, text, ifVersion) }.fold(
        { WriteOutcome.Written(it.version) },
        { error ->
            when {
                error is StoreError.Conflict -> WriteOutcome.Conflict(error.currentVersion)
                error is StoreError.Unavailable && error.mayHaveApplied -> readBack(id, text, ifVersion, attempts - 1, error)
                error is StoreError.Unavailable && attempts > 1 -> write(id, text, ifVersion, attempts - 1)
                else -> notWritten(error)
            }
        },
    )

    /** Reads the record to find out whether a write without a response took effect; retries the write if it did not. */
    private suspend fun readBack(
        id: RecordId,
        text: String,
        ifVersion: Long,
        attempts: Int,
        error: StoreError,
    ): WriteOutcome = read(id.kind.label, id.name).fold(
        { found ->
            val version = found?.version ?: 0
            when {
                version != ifVersion && sameJson(found?.value, text) -> WriteOutcome.Written(version)
                version != ifVersion -> WriteOutcome.Conflict(version)
                attempts > 0 -> write(id, text, ifVersion, attempts)
                else -> WriteOutcome.Unknown(describe(error))
            }
        },
        { WriteOutcome.Unknown(it) },
    )

    private fun notWritten(error: StoreError) = WriteOutcome.NotWritten(describe(error))

    /** Retries a call once if it gets no response. Only for idempotent calls: reads and conditional removals. */
    private suspend fun <T> retryUnanswered(call: suspend () -> Result<T, StoreError>): Result<T, StoreError> {
        val first = retryThrottled(call)
        val isUnanswered = first.fold({ false }, { it is StoreError.Unavailable })
        return if (isUnanswered) retryThrottled(call) else first
    }

    /** Retries a call while the platform throttles it. */
    private suspend fun <T> retryThrottled(call: suspend () -> Result<T, StoreError>): Result<T, StoreError> {
        repeat(THROTTLED_ATTEMPTS - 1) { attempt ->
            val result = call()
            if (!result.fold({ false }, { it is StoreError.Throttled })) return result
            delay(RETRY_PAUSE_MS * (attempt + 1))
        }
        return call()
    }
}

private fun sameJson(
    found: String?,
    text: String,
): Boolean =
    found != null && runCatching { recordJson.parseToJsonElement(found) == recordJson.parseToJsonElement(text) }.getOrDefault(false)

/** Describes in one line why a call failed. */
internal fun describe(error: StoreError): String = when (error) {
    is StoreError.Conflict -> "conflict, current version ${error.currentVersion}"
    is StoreError.Rejected -> "the platform rejected the request: ${error.detail}"
    is StoreError.Throttled -> "the platform's rate limit is exceeded"
    is StoreError.HistoryGone -> "the platform no longer keeps the requested history"
    is StoreError.Unavailable -> "no answer from the platform: ${error.detail}"
}
