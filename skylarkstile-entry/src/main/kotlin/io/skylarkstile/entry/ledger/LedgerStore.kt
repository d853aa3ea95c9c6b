/*
 * Reads and writes the platform objects of one key range.
 */
package io.skylarkstile.entry.ledger

import com.github.michaelbull.result.fold
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.core.ledger.LedgerOp
import io.skylarkstile.core.ledger.LedgerOpResult
import io.skylarkstile.schema.generated.LedgerHead
import io.skylarkstile.schema.generated.LedgerSegment
import io.skylarkstile.schema.generated.StoredRecord
import io.skylarkstile.schema.recordJson
import io.skylarkstile.transport.platform.ObjectStore
import io.skylarkstile.transport.platform.StoreError
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException

private val log = KotlinLogging.logger {}

/** Performs the [LedgerOp]s of [range]. */
internal class LedgerStore(
    private val store: ObjectStore,
    private val range: Int,
) {
    suspend fun perform(op: LedgerOp): LedgerOpResult = when (op) {
        LedgerOp.ReadHead -> read(HEAD, LedgerHead.serializer()) { value, version -> LedgerOpResult.Head(value, version) }
        is LedgerOp.ReadSegment ->
            read("${op.number}", LedgerSegment.serializer()) { value, version -> LedgerOpResult.Segment(value, version) }
        is LedgerOp.WriteHead -> write(HEAD, recordJson.encodeToString(LedgerHead.serializer(), op.head), op.ifVersion)
        is LedgerOp.WriteSegment ->
            write("${op.number}", recordJson.encodeToString(LedgerSegment.serializer(), op.segment), op.ifVersion)
        is LedgerOp.DeleteSegment ->
            store
                .delete(
                    KIND,
                    name("${op.number}"),
                    null,
                ).fold({ LedgerOpResult.Written(0) }, { LedgerOpResult.Failed })
    }

    private suspend fun <T> read(
        suffix: String,
        serializer: KSerializer<T>,
        result: (T?, Long) -> LedgerOpResult,
    ): LedgerOpResult = store.get(KIND, name(suffix)).fold(
        success = { parse(it, serializer, result) },
        failure = { LedgerOpResult.Failed },
    )

    /** Decodes an object. An unreadable object counts as a failed read, because a call could run twice if its key were ignored. */
    private fun <T> parse(
        record: StoredRecord?,
        serializer: KSerializer<T>,
        result: (T?, Long) -> LedgerOpResult,
    ): LedgerOpResult {
        val value = record?.value ?: return result(null, 0)
        return try {
            result(recordJson.decodeFromString(serializer, value), record.version)
        } catch (e: SerializationException) {
            log.event(
                Level.ERROR,
                "ledger-object-unreadable",
                "name" to record.name,
                cause = e,
            ) { "object $KIND/${record.name} cannot be decoded" }
            LedgerOpResult.Failed
        }
    }

    private suspend fun write(
        suffix: String,
        value: String,
        ifVersion: Long,
    ): LedgerOpResult = store.put(KIND, name(suffix), value, ifVersion).fold(
        success = { LedgerOpResult.Written(it.version) },
        failure = { toResult(suffix, it) },
    )

    private fun toResult(
        suffix: String,
        error: StoreError,
    ): LedgerOpResult = when (error) {
        is StoreError.Conflict -> LedgerOpResult.Conflict
        is StoreError.Unavailable -> if (error.mayHaveApplied) LedgerOpResult.Uncertain else LedgerOpResult.Failed
        is StoreError.Rejected -> {
            log.event(Level.ERROR, "ledger-write-rejected", "name" to name(suffix)) {
                "the platform rejected object $KIND/${name(suffix)}: ${error.detail}"
            }
            LedgerOpResult.Failed
        }
        else -> LedgerOpResult.Failed
    }

    private fun name(suffix: String) = "$range-$suffix"

    private companion object {
        const val KIND = "ledger"
        const val HEAD = "head"
    }
}
