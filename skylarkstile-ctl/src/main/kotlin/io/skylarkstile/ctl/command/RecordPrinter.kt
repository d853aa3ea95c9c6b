/*
 * Prints current records: a single record, all records of a kind, or a record with its dependencies. Salts and hashes of keys are hidden.
 */
package io.skylarkstile.ctl.command

import com.github.michaelbull.result.getOrElse
import io.skylarkstile.config.record.Record
import io.skylarkstile.config.record.RecordId
import io.skylarkstile.config.record.RecordKind
import io.skylarkstile.config.record.RecordWorld
import io.skylarkstile.ctl.store.CurrentRecords
import io.skylarkstile.ctl.store.RecordStore
import io.skylarkstile.schema.recordJson
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.encodeToJsonElement

private val hiddenKeys = setOf("salt", "hash")

/** Also encodes default values, since they apply when a record omits a key. */
private val jsonWithDefaults =
    Json(recordJson) {
        encodeDefaults = true
    }

/** Prints records to a [Console]. */
internal class RecordPrinter(
    private val records: RecordStore,
    private val console: Console,
) {
    /** Prints the stored form of a record in record file syntax. */
    suspend fun get(id: RecordId): ExitCode {
        val stored = records.read(id.kind.label, id.name).getOrElse { return unavailable(it) } ?: return reportMissing(id)
        console.out("; version ${stored.version}, revision ${stored.revision}")
        console.out("[$id]")
        val value = runCatching { recordJson.parseToJsonElement(stored.value.orEmpty()) as? JsonObject }.getOrNull()
        value?.let(::recordLines)?.forEach(console.out) ?: console.err("$id: the stored value is not a JSON object")
        return ExitCode.OK
    }

    /** Prints one line for each record of [kind]. */
    suspend fun list(kind: RecordKind): ExitCode {
        val currentRecords = records.readAll().getOrElse { return unavailable(it) }
        val decoded = currentRecords.table.records()
        for (stored in currentRecords.table.stored.filter { it.kind == kind.label }) {
            val text =
                decoded[
                    RecordId(
                        kind,
                        stored.name,
                    ),
                ]?.let { recordLines(valueOf(it)).joinToString(" ") { line -> line.replace(" = ", "=") } }
            console.out("${stored.name} version=${stored.version} ${text ?: "unreadable"}")
        }
        return ExitCode.OK
    }

    /** Prints the record including default values, its dependencies, its dependents and its problems. */
    suspend fun explain(id: RecordId): ExitCode {
        val currentRecords = records.readAll().getOrElse { return unavailable(it) }
        val stored = currentRecords.table.storedOrNull(id) ?: return reportMissing(id)
        val record = currentRecords.table.records()[id]
        console.out("$id, version ${stored.version}, in force since revision ${stored.revision} (now ${currentRecords.revision})")
        if (record == null) {
            val problem =
                currentRecords.table.unreadable
                    .firstOrNull { it.kind == id.kind.label && it.name == id.name }
                    ?.problem
            console.out("  not in force: $problem")
            return ExitCode.REFUSED
        }
        recordLines(valueOf(record)).forEach { console.out("  $it") }
        printRelations(id, currentRecords)
        return ExitCode.OK
    }

    private fun printRelations(
        id: RecordId,
        currentRecords: CurrentRecords,
    ) {
        val recordWorld = RecordWorld(currentRecords.table.records())
        dependencyTree(id, recordWorld, setOf(id)).forEach { (needed, depth) ->
            val version = currentRecords.table.storedOrNull(needed)?.let { "version ${it.version}" } ?: "missing"
            console.out("  ${"  ".repeat(depth)}needs $needed ($version)")
        }
        recordWorld.dependents(id).sortedBy { it.toString() }.forEach { console.out("  needed by $it") }
        recordWorld.problems(id).forEach { console.out("  problem: ${it.key?.plus(": ").orEmpty()}${it.text}") }
    }

    private fun reportMissing(id: RecordId): ExitCode {
        console.err("$id: there is no such record")
        return ExitCode.REFUSED
    }

    private fun unavailable(reason: String): ExitCode {
        console.err(reason)
        return ExitCode.UNAVAILABLE
    }
}

/**
 * Returns the transitive dependencies of [id] with the depth of each. An adapter and its version depend on each other, so records in
 * [seen] are not visited again.
 */
private fun dependencyTree(
    id: RecordId,
    recordWorld: RecordWorld,
    seen: Set<RecordId>,
    depth: Int = 0,
): List<Pair<RecordId, Int>> = recordWorld.dependencies(id).filter { it !in seen }.flatMap {
    listOf(it to depth) +
        dependencyTree(it, recordWorld, seen + it, depth + 1)
}

private fun valueOf(record: Record): JsonObject = when (record) {
    is Record.Workspace -> jsonWithDefaults.encodeToJsonElement(record.record)
    is Record.Key -> jsonWithDefaults.encodeToJsonElement(record.record)
    is Record.Adapter -> jsonWithDefaults.encodeToJsonElement(record.record)
    is Record.Version -> jsonWithDefaults.encodeToJsonElement(record.record)
    is Record.Route -> jsonWithDefaults.encodeToJsonElement(record.record)
    is Record.Target -> jsonWithDefaults.encodeToJsonElement(record.record)
} as JsonObject

private fun recordLines(value: JsonObject): List<String> =
    value.map { (key, element) -> "$key = ${if (key in hiddenKeys) "(hidden)" else text(element)}" }

private fun text(element: JsonElement): String = (element as? JsonPrimitive)?.content ?: element.toString()
