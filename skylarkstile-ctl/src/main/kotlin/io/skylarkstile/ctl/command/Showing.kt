/*
 * Shows what is in force: single records, lists, and what a record depends on. Salts and hashes of keys are not shown.
 */
package io.skylarkstile.ctl.command

import com.github.michaelbull.result.getOrElse
import io.skylarkstile.config.record.Record
import io.skylarkstile.config.record.RecordId
import io.skylarkstile.config.record.RecordKind
import io.skylarkstile.config.record.RecordWorld
import io.skylarkstile.ctl.store.PresentRecords
import io.skylarkstile.ctl.store.RecordStore
import io.skylarkstile.schema.recordJson
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.encodeToJsonElement

private val hiddenKeys = setOf("salt", "hash")

/** Writes keys with their default values too, since those are in force as well. */
private val fullJson =
    Json(recordJson) {
        encodeDefaults = true
    }

internal class Showing(
    private val records: RecordStore,
    private val console: Console,
) {
    /** Prints a record in the form of a record file, as it is stored. */
    suspend fun get(id: RecordId): ExitCode {
        val stored = records.read(id.kind.label, id.name).getOrElse { return unavailable(it) } ?: return missing(id)
        console.out("; version ${stored.version}, revision ${stored.revision}")
        console.out("[$id]")
        val value = runCatching { recordJson.parseToJsonElement(stored.value.orEmpty()) as? JsonObject }.getOrNull()
        value?.let(::lines)?.forEach(console.out) ?: console.err("$id: value is not a JSON object")
        return ExitCode.OK
    }

    /** Prints one line for each record of [kind]. */
    suspend fun list(kind: RecordKind): ExitCode {
        val present = records.readAll().getOrElse { return unavailable(it) }
        val decoded = present.table.records()
        for (stored in present.table.stored.filter { it.kind == kind.label }) {
            val text =
                decoded[
                    RecordId(
                        kind,
                        stored.name,
                    ),
                ]?.let { lines(valueOf(it)).joinToString(" ") { line -> line.replace(" = ", "=") } }
            console.out("${stored.name} version=${stored.version} ${text ?: "unreadable"}")
        }
        return ExitCode.OK
    }

    /** Prints the record in its current form with defaults, what it needs, what needs it, and what is wrong with it. */
    suspend fun explain(id: RecordId): ExitCode {
        val present = records.readAll().getOrElse { return unavailable(it) }
        val stored = present.table.storedOrNull(id) ?: return missing(id)
        val record = present.table.records()[id]
        console.out("$id, version ${stored.version}, in force since revision ${stored.revision} (now ${present.revision})")
        if (record == null) {
            val problem =
                present.table.unreadable
                    .firstOrNull { it.kind == id.kind.label && it.name == id.name }
                    ?.problem
            console.out("  not in force: $problem")
            return ExitCode.REFUSED
        }
        lines(valueOf(record)).forEach { console.out("  $it") }
        relations(id, present)
        return ExitCode.OK
    }

    private fun relations(
        id: RecordId,
        present: PresentRecords,
    ) {
        val world = RecordWorld(present.table.records())
        dependencyTree(id, world, setOf(id)).forEach { (needed, depth) ->
            val version = present.table.storedOrNull(needed)?.let { "version ${it.version}" } ?: "missing"
            console.out("  ${"  ".repeat(depth)}needs $needed ($version)")
        }
        world.dependents(id).sortedBy { it.toString() }.forEach { console.out("  needed by $it") }
        world.problems(id).forEach { console.out("  problem: ${it.key?.plus(": ").orEmpty()}${it.text}") }
    }

    private fun missing(id: RecordId): ExitCode {
        console.err("$id: there is no such record")
        return ExitCode.REFUSED
    }

    private fun unavailable(reason: String): ExitCode {
        console.err(reason)
        return ExitCode.UNAVAILABLE
    }
}

/** Returns what [id] needs with the depth of each; an adapter and its version need each other, so [seen] ends the descent. */
private fun dependencyTree(
    id: RecordId,
    world: RecordWorld,
    seen: Set<RecordId>,
    depth: Int = 0,
): List<Pair<RecordId, Int>> =
    world.dependencies(id).filter { it !in seen }.flatMap { listOf(it to depth) + dependencyTree(it, world, seen + it, depth + 1) }

private fun valueOf(record: Record): JsonObject = when (record) {
    is Record.Workspace -> fullJson.encodeToJsonElement(record.record)
    is Record.Key -> fullJson.encodeToJsonElement(record.record)
    is Record.Adapter -> fullJson.encodeToJsonElement(record.record)
    is Record.Version -> fullJson.encodeToJsonElement(record.record)
    is Record.Route -> fullJson.encodeToJsonElement(record.record)
    is Record.Target -> fullJson.encodeToJsonElement(record.record)
} as JsonObject

private fun lines(value: JsonObject): List<String> =
    value.map { (key, element) -> "$key = ${if (key in hiddenKeys) "(hidden)" else text(element)}" }

private fun text(element: JsonElement): String = (element as? JsonPrimitive)?.content ?: element.toString()
