/*
 * The segment that an owner is filling. Each commit writes it as a whole, so a write replaces whatever an earlier uncertain one left.
 */
package io.skylarkstile.core.ledger

import io.skylarkstile.schema.generated.LedgerEntry

/** Holds the confirmed entries of segment [number] at [version] (0 before it exists). */
internal class LedgerSegmentBuffer(
    val number: Long,
    var version: Long,
) {
    private var entries = LinkedHashMap<String, LedgerEntry>()
    private var bytes = 0

    fun isFull(limits: LedgerLimits): Boolean = entries.size >= limits.segmentEntries || bytes >= limits.segmentBytes

    /** Takes keys from [dirty] while the segment has room, at least one, and returns them. */
    fun batch(
        dirty: Collection<KnownKey>,
        limits: LedgerLimits,
    ): List<KnownKey> {
        var size = bytes
        var count = entries.size
        return dirty.takeWhile { key ->
            val fits = size < limits.segmentBytes && count < limits.segmentEntries
            size += key.entry().estimatedBytes()
            if (key.key !in entries) count++
            fits
        }
    }

    /** Returns the entries with those of [batch] added or replaced. */
    fun with(batch: List<KnownKey>): List<LedgerEntry> {
        val all = LinkedHashMap(entries)
        batch.forEach { all[it.key] = it.entry() }
        return all.values.toList()
    }

    fun confirm(
        written: List<LedgerEntry>,
        version: Long,
    ) {
        this.version = version
        entries = written.associateByTo(LinkedHashMap()) { it.key }
        bytes = written.sumOf { it.estimatedBytes() }
    }

    /** Returns the time of the newest entry, or 0 without entries. */
    fun newestAt(): Long = entries.values.maxOfOrNull { it.at } ?: 0
}
