/*
 * Changes single records: set, withdraw, drain, remove and new keys.
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
import io.skylarkstile.ctl.store.PresentRecords
import io.skylarkstile.ctl.store.RecordStore
import io.skylarkstile.ctl.store.WriteOutcome
import io.skylarkstile.schema.generated.WorkspaceRecord
import io.skylarkstile.schema.recordJson
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.encodeToJsonElement

internal class Changing(
    private val records: RecordStore,
    private val console: Console,
) {
    /** Changes keys of a record under its version, or under [Command.Change.ifVersion] when the operator names one. */
    suspend fun change(command: Command.Change): ExitCode {
        val present = records.readAll().getOrElse { return unavailable(it) }
        val stored = present.table.storedOrNull(command.id) ?: return refuse("${command.id}: there is no such record")
        if (command.ifVersion != null && command.ifVersion != stored.version) return conflict(command.id, stored.version)
        val (value, faults) = changed(command, stored.value.orEmpty(), present.table.records()[command.id])
        if (faults.isNotEmpty()) return refuse(faults)
        val next = readStoredRecord(command.id.kind, command.id.name, value.toString())
        next.getError()?.let { return refuse("${command.id}: $it") }
        val before = present.table.records()
        val elsewhere = newFaults(before, before + (command.id to checkNotNull(next.get())))
        if (elsewhere.isNotEmpty()) return refuse(elsewhere)
        return report(command.id, "updated", records.write(command.id, value.toString(), stored.version))
    }

    /** Removes a record that no other record needs. */
    suspend fun remove(command: Command.Remove): ExitCode {
        val present = records.readAll().getOrElse { return unavailable(it) }
        val stored = present.table.storedOrNull(command.id) ?: return refuse("${command.id}: there is no such record")
        if (command.ifVersion != null && command.ifVersion != stored.version) return conflict(command.id, stored.version)
        val before = present.table.records()
        val elsewhere = newFaults(before, before - command.id)
        if (elsewhere.isNotEmpty()) return refuse(elsewhere)
        return report(command.id, "removed", records.remove(command.id, stored.version))
    }

    /** Creates a key and prints it; it cannot be read again. */
    suspend fun createKey(command: Command.CreateKey): ExitCode {
        val present = records.readAll().getOrElse { return unavailable(it) }
        val key = createKey(command.name, command.workspace)
        val id = RecordId(RecordKind.KEY, command.name)
        val faults = faultsOfNew(present, id, Record.Key(key.record))
        if (faults.isNotEmpty()) return refuse(faults)
        val outcome = records.write(id, recordJson.encodeToString(key.record), 0)
        val exit = report(id, "created", outcome, console.err)
        if (exit == ExitCode.OK) console.out(key.text)
        return exit
    }

    private fun faultsOfNew(
        present: PresentRecords,
        id: RecordId,
        record: Record,
    ): List<String> {
        present.table.storedOrNull(id)?.let { return listOf("$id: conflict, not written; ${versionText(it.version)}") }
        return newFaults(present.table.records(), present.table.records() + (id to record))
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

    private fun refuse(fault: String): ExitCode = refuse(listOf(fault))

    private fun refuse(faults: List<String>): ExitCode {
        faults.forEach(console.err)
        return ExitCode.REFUSED
    }

    private fun unavailable(reason: String): ExitCode {
        console.err(reason)
        return ExitCode.UNAVAILABLE
    }
}

/** Returns the JSON of a record with the changes of [command] and what is wrong with them. */
private fun changed(
    command: Command.Change,
    text: String,
    record: Record?,
): Pair<JsonObject, List<String>> {
    val faults = mutableListOf<String>()
    val asked =
        command.values
            .firstOrNull { it.first == "schemaVersion" }
            ?.second
            ?.toIntOrNull()
    val base = if (asked != null && record != null) upgraded(record, asked, text) else jsonOf(text)
    val schema = base.schemaVersionOrNull()?.let(command.id.kind::schemaOrNull)
    if (schema == null) return base to listOf("${command.id}: the stored record cannot be read; apply a file instead")
    val values = base.toMutableMap()
    command.values.forEach { (key, value) -> change(values, schema, key, value)?.let { faults += "${command.id}: $key: $it" } }
    return JsonObject(values) to faults
}

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

/** Only workspaces have two forms; the old one becomes the new one when the operator sets the new schema version. */
private fun upgraded(
    record: Record,
    schemaVersion: Int,
    text: String,
): JsonObject = if (record is Record.Workspace && schemaVersion == record.record.schemaVersion) {
    recordJson.encodeToJsonElement<WorkspaceRecord>(record.record) as JsonObject
} else {
    jsonOf(text)
}

private fun jsonOf(text: String): JsonObject =
    runCatching { recordJson.parseToJsonElement(text) as? JsonObject }.getOrNull() ?: JsonObject(emptyMap())
