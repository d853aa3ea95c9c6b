/*
 * Finds the problems that a planned change would introduce. A change is refused if it causes a problem in any record, including records
 * that it does not modify; problems that existed before do not block it.
 */
package io.skylarkstile.ctl.command

import io.skylarkstile.config.record.Record
import io.skylarkstile.config.record.RecordId
import io.skylarkstile.config.record.RecordWorld

/** Returns one line for each problem that exists in [after] but not in [before], ignoring the records in [except]. */
internal fun introducedProblems(
    before: Map<RecordId, Record>,
    after: Map<RecordId, Record>,
    except: Set<RecordId> = emptySet(),
): List<String> {
    val oldWorld = RecordWorld(before)
    val newWorld = RecordWorld(after)
    return after.keys.filter { it !in except }.sortedBy { it.toString() }.flatMap { id ->
        val knownProblems = if (before[id] == after[id]) oldWorld.problems(id) else emptyList()
        (newWorld.problems(id) - knownProblems.toSet()).map { "$id: ${it.key?.let { key -> "$key: " } ?: ""}${it.text}" }
    }
}
