/*
 * Reads and writes records for the operator. Every write has a condition, and a write whose answer is missing is read back, so that
 * each record is reported as what it is: written, not written, or unknown.
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

/** Pause before a throttled or unanswered call is tried again, in milliseconds; multiplied by the attempt. */
private const val RETRY_PAUSE_MS = 100L

/** Attempts at one call: about 5 s of pauses in all, longer than the platform's rate limit holds back a single client. */
private const val ATTEMPTS = 10

/** Attempts at a call without any answer; each has already waited for the time limit. */
private const val SILENT_ATTEMPTS = 2

/** Tells what became of a write. */
internal sealed interface WriteOutcome {
    data class Written(
        val version: Long,
    ) : WriteOutcome

    /** Another operator was faster; [currentVersion] is 0 when there is no record. */
    data class Conflict(
        val currentVersion: Long,
    ) : WriteOutcome

    data class NotWritten(
        val reason: String,
    ) : WriteOutcome

    /** The write may have taken effect: neither its answer nor the record could be read. */
    data class Unknown(
        val reason: String,
    ) : WriteOutcome
}

/** Holds the records in force at [revision]. */
internal class PresentRecords(
    val table: RecordTable,
    val revision: Long,
)

/** Calls [store] with the repeats that are safe. */
internal class RecordStore(
    val store: ObjectStore,
) {
    /** Reads all records. */
    suspend fun readAll(): Result<PresentRecords, String> = repeated { store.list(RecordKind.labels) }
        .map { PresentRecords(RecordTable.empty.with(it.records), it.revision) }
        .mapError(::describe)

    /** Reads one record as it is stored. */
    suspend fun read(
        kind: String,
        name: String,
    ): Result<StoredRecord?, String> = repeated { store.get(kind, name) }.mapError(::describe)

    /** Writes [text] if the record is still at [ifVersion]; 0 means that there is none. */
    suspend fun write(
        id: RecordId,
        text: String,
        ifVersion: Long,
    ): WriteOutcome = write(id, text, ifVersion, SILENT_ATTEMPTS)

    /** Removes the record if it is still at [ifVersion]. */
    suspend fun remove(
        id: RecordId,
        ifVersion: Long,
    ): WriteOutcome = repeated { store.delete(id.kind.label, id.name, ifVersion) }.fold(
        { WriteOutcome.Written(0) },
        { error ->
            when (error) {
                // A repeated removal that finds nothing has been carried out by the first attempt or by another operator.
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
    ): WriteOutcome = throttled { store.put(id.kind.label, id.name, text, ifVersion) }.fold(
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

    /** Repeats calls that change nothing twice: reads and conditional removals. */
    private suspend fun <T> repeated(call: suspend () -> Result<T, StoreError>): Result<T, StoreError> {
        val first = throttled(call)
        val silent = first.fold({ false }, { it is StoreError.Unavailable })
        return if (silent) throttled(call) else first
    }

    private suspend fun <T> throttled(call: suspend () -> Result<T, StoreError>): Result<T, StoreError> {
        repeat(ATTEMPTS - 1) { attempt ->
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

/** Says in one line why a call failed. */
internal fun describe(error: StoreError): String = when (error) {
    is StoreError.Conflict -> "conflict, current version ${error.currentVersion}"
    is StoreError.Rejected -> "the platform rejected it: ${error.detail}"
    is StoreError.Throttled -> "the platform's rate is exhausted"
    is StoreError.HistoryGone -> "the platform no longer has the history"
    is StoreError.Unavailable -> "no answer from the platform: ${error.detail}"
}
