/*
 * Changes single records, for the commands set, withdraw, drain, remove and create-key.
 */
package io.skylarkstile.ctl.command

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import io.skylarkstile.config.key.createKey
import io.skylarkstile.config.record.Record
import io.skylarkstile.config.record.RecordId
import io.skylarkstile.config.record.RecordKind
import io.skylarkstile.config.record.readStoredRecord
import io.skylarkstile.config.record.schemaVersionOrNull
import io.skylarkstile.config.schema.ObjectSchema
import io.skylarkstile.config.schema.read
import io.skylarkstile.ctl.store.CurrentRecords
import io.skylarkstile.ctl.store.RecordStore
import io.skylarkstile.ctl.store.WriteOutcome
import io.skylarkstile.schema.generated.WorkspaceRecord
import io.skylarkstile.schema.recordJson
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.encodeToJsonElement

/** Writes changes of single records on condition that the stored version has not changed. */
internal class RecordEditor(
    private val records: RecordStore,
    private val console: Console,
) {
    /** Changes keys of a record if it still has the version that was read, and [Command.Change.ifVersion] if that is given. */
    suspend fun change(command: Command.Change): ExitCode {
        val currentRecords = records.readAll().getOrElse { return unavailable(it) }
        val stored = currentRecords.table.storedOrNull(command.id) ?: return refuse("${command.id}: there is no such record")
        if (command.ifVersion != null && command.ifVersion != stored.version) return conflict(command.id, stored.version)
        val (value, problems) = applyChanges(command, stored.value.orEmpty(), currentRecords.table.records()[command.id])
        if (problems.isNotEmpty()) return refuse(problems)
        val updatedRecord = readStoredRecord(command.id.kind, command.id.name, value.toString())
        updatedRecord.getError()?.let { return refuse("${command.id}: $it") }
        val before = currentRecords.table.records()
        val newProblems = introducedProblems(before, before + (command.id to checkNotNull(updatedRecord.get())))
        if (newProblems.isNotEmpty()) return refuse(newProblems)
        return report(command.id, "updated", records.write(command.id, value.toString(), stored.version))
    }

    /** Removes a record unless another record depends on it. */
    suspend fun remove(command: Command.Remove): ExitCode {
        val currentRecords = records.readAll().getOrElse { return unavailable(it) }
        val stored = currentRecords.table.storedOrNull(command.id) ?: return refuse("${command.id}: there is no such record")
        if (command.ifVersion != null && command.ifVersion != stored.version) return conflict(command.id, stored.version)
        val before = currentRecords.table.records()
        val newProblems = introducedProblems(before, before - command.id)
        if (newProblems.isNotEmpty()) return refuse(newProblems)
        return report(command.id, "removed", records.remove(command.id, stored.version))
    }

    /** Creates a key and prints it. The key cannot be read later, since only its hash is stored. */
    suspend fun createKey(command: Command.CreateKey): ExitCode {
        val currentRecords = records.readAll().getOrElse { return unavailable(it) }
        val key = createKey(command.name, command.workspace)
        val id = RecordId(RecordKind.KEY, command.name)
        val problems = problemsOfNewRecord(currentRecords, id, Record.Key(key.record))
        if (problems.isNotEmpty()) return refuse(problems)
        val outcome = records.write(id, recordJson.encodeToString(key.record), 0)
        val exit = report(id, "created", outcome, console.err)
        if (exit == ExitCode.OK) console.out(key.text)
        return exit
    }

    private fun problemsOfNewRecord(
        currentRecords: CurrentRecords,
        id: RecordId,
        record: Record,
    ): List<String> {
        currentRecords.table.storedOrNull(id)?.let { return listOf("$id: conflict, not written; ${versionText(it.version)}") }
        return introducedProblems(currentRecords.table.records(), currentRecords.table.records() + (id to record))
    }

    private fun report(
        id: RecordId,
        verb: String,
        outcome: WriteOutcome,
        success: (String) -> Unit = console.out,
    ): ExitCode = when (outcome) {
        is WriteOutcome.Written -> {
            success(if (outcome.version == 0L) "$id: $verb" else "$id: $verb (version ${outcome.version})")
            ExitCode.OK
        }

        is WriteOutcome.Conflict -> {
            conflict(id, outcome.currentVersion)
        }

        is WriteOutcome.NotWritten -> {
            unavailable("$id: not written; ${outcome.reason}")
        }

        is WriteOutcome.Unknown -> {
            unavailable("$id: unknown whether written; ${outcome.reason}")
        }
    }

    private fun conflict(
        id: RecordId,
        version: Long,
    ): ExitCode = refuse("$id: conflict, not written; ${versionText(version)}")

    private fun refuse(problem: String): ExitCode = refuse(listOf(problem))

    private fun refuse(problems: List<String>): ExitCode {
        problems.forEach(console.err)
        return ExitCode.REFUSED
    }

    private fun unavailable(reason: String): ExitCode {
        console.err(reason)
        return ExitCode.UNAVAILABLE
    }
}

/** Returns the JSON of a record with the changes of [command] applied, and the problems of those changes. */
private fun applyChanges(
    command: Command.Change,
    text: String,
    record: Record?,
): Pair<JsonObject, List<String>> {
    val problems = mutableListOf<String>()
    val newSchemaVersion =
        command.values
            .firstOrNull { it.first == "schemaVersion" }
            ?.second
            ?.toIntOrNull()
    val base = if (newSchemaVersion != null && record != null) upgradeWorkspace(record, newSchemaVersion, text) else parseJsonObject(text)
    val schema = base.schemaVersionOrNull()?.let(command.id.kind::schemaOrNull)
    if (schema == null) return base to listOf("${command.id}: the stored record cannot be read; apply a file instead")
    val values = base.toMutableMap()
    command.values.forEach { (key, value) -> change(values, schema, key, value)?.let { problems += "${command.id}: $key: $it" } }
    return JsonObject(values) to problems
}

/** Sets [key] in [values], or removes it if it is optional and [value] is empty. Returns an error message, or `null` on success. */
private fun change(
    values: MutableMap<String, JsonElement>,
    schema: ObjectSchema,
    key: String,
    value: String,
): String? {
    val field = schema.fieldOrNull(key) ?: return "unknown key; ${schema.name} has ${schema.fields.joinToString { it.name }}"
    if (value.isEmpty() && !field.required) {
        values.remove(key)
        return null
    }
    val result = field.read(value)
    result.get()?.let { values[key] = it }
    return result.getError()
}

/**
 * Converts a workspace to the current schema when the operator sets the current schema version. Only workspaces have two schema versions;
 * other records are returned unchanged.
 */
private fun upgradeWorkspace(
    record: Record,
    schemaVersion: Int,
    text: String,
): JsonObject = if (record is Record.Workspace && schemaVersion == record.record.schemaVersion) {
    recordJson.encodeToJsonElement<WorkspaceRecord>(record.record) as JsonObject
} else {
    parseJsonObject(text)
}

private fun parseJsonObject(text: String): JsonObject =
    runCatching { recordJson.parseToJsonElement(text) as? JsonObject }.getOrNull() ?: JsonObject(emptyMap())
