/*
 * The segment that an owner is filling. Each commit writes it as a whole and so overwrites what an uncertain earlier write may have left.
 */
package io.skylarkstile.core.ledger

import io.skylarkstile.schema.generated.LedgerEntry

/** Holds the recorded entries of segment [number] at [version], which is 0 before the segment exists. */
internal class LedgerSegmentBuffer(
    val number: Long,
    var version: Long,
) {
    private var entries = LinkedHashMap<String, LedgerEntry>()
    private var bytes = 0

    fun isFull(limits: LedgerLimits): Boolean = entries.size >= limits.segmentEntries || bytes >= limits.segmentBytes

    /** Returns the first keys of [dirty] that the segment has room for; unless the segment is full, this includes at least one. */
    fun batch(
        dirty: Collection<KnownKey>,
        limits: LedgerLimits,
    ): List<KnownKey> {
        var size = bytes
        var count = entries.size
        return dirty.takeWhile { key ->
            val fits = size < limits.segmentBytes && count < limits.segmentEntries
            size += key.toLedgerEntry().estimatedBytes()
            if (key.key !in entries) count++
            fits
        }
    }

    /** Returns the entries with those of [batch] added or replaced. */
    fun with(batch: List<KnownKey>): List<LedgerEntry> {
        val all = LinkedHashMap(entries)
        batch.forEach { all[it.key] = it.toLedgerEntry() }
        return all.values.toList()
    }

    /** Records that the segment was written with the entries [written] and now has [version]. */
    fun confirm(
        written: List<LedgerEntry>,
        version: Long,
    ) {
        this.version = version
        entries = written.associateByTo(LinkedHashMap()) { it.key }
        bytes = written.sumOf { it.estimatedBytes() }
    }

    /** Returns the time of day of the newest entry in milliseconds, or 0 without entries. */
    fun newestAt(): Long = entries.values.maxOfOrNull { it.at } ?: 0
}
