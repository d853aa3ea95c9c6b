/*
 * Judges a planned change against the records in force. A change is refused when it creates a fault anywhere, also in a record that it
 * does not touch; faults that were there before do not block it.
 */
package io.skylarkstile.ctl.command

import io.skylarkstile.config.record.Record
import io.skylarkstile.config.record.RecordId
import io.skylarkstile.config.record.RecordWorld

/** Returns one line for each fault that [after] has and [before] has not, leaving out the records in [except]. */
internal fun newFaults(
    before: Map<RecordId, Record>,
    after: Map<RecordId, Record>,
    except: Set<RecordId> = emptySet(),
): List<String> {
    val old = RecordWorld(before)
    val new = RecordWorld(after)
    return after.keys.filter { it !in except }.sortedBy { it.toString() }.flatMap { id ->
        val known = if (before[id] == after[id]) old.problems(id) else emptyList()
        (new.problems(id) - known.toSet()).map { "$id: ${it.key?.let { key -> "$key: " } ?: ""}${it.text}" }
    }
}
