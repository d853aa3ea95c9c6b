/*
 * Decoded records of all kinds, in their current schema version.
 */
package io.skylarkstile.config.record

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import io.skylarkstile.config.schema.Field
import io.skylarkstile.config.schema.ObjectSchema
import io.skylarkstile.config.schema.ValueType
import io.skylarkstile.config.schema.isName
import io.skylarkstile.config.schema.read
import io.skylarkstile.schema.generated.AdapterRecord
import io.skylarkstile.schema.generated.KeyRecord
import io.skylarkstile.schema.generated.RouteRecord
import io.skylarkstile.schema.generated.TargetRecord
import io.skylarkstile.schema.generated.VersionRecord
import io.skylarkstile.schema.generated.WorkspaceRecord
import io.skylarkstile.schema.generated.WorkspaceRecordV1
import io.skylarkstile.schema.recordJson
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.intOrNull

/** Generated tokens counted per request of a version 1 workspace: the default reservation of a request without `max_tokens`. */
private const val TOKENS_PER_REQUEST = 256

/** Maximum length of a record name: two names of 63 characters and the separator. */
private const val MAX_NAME_LENGTH = 127

/** Holds one decoded record. */
sealed interface Record {
    data class Workspace(
        val record: WorkspaceRecord,
    ) : Record

    data class Key(
        val record: KeyRecord,
    ) : Record

    data class Adapter(
        val record: AdapterRecord,
    ) : Record

    data class Version(
        val record: VersionRecord,
    ) : Record

    data class Route(
        val record: RouteRecord,
    ) : Record

    data class Target(
        val record: TargetRecord,
    ) : Record
}

/** Decodes a valid JSON [value] of [kind], upgrading older schema versions. */
internal fun decodeRecord(
    kind: RecordKind,
    value: JsonObject,
): Record = when (kind) {
    RecordKind.WORKSPACE -> Record.Workspace(decodeWorkspace(value))
    RecordKind.KEY -> Record.Key(recordJson.decodeFromJsonElement(value))
    RecordKind.ADAPTER -> Record.Adapter(recordJson.decodeFromJsonElement(value))
    RecordKind.VERSION -> Record.Version(recordJson.decodeFromJsonElement(value))
    RecordKind.ROUTE -> Record.Route(recordJson.decodeFromJsonElement(value))
    RecordKind.TARGET -> Record.Target(recordJson.decodeFromJsonElement(value))
}

/** Converts schema version 1, which has only request rates: each request counts as 256 generated tokens. */
fun upgrade(old: WorkspaceRecordV1): WorkspaceRecord = WorkspaceRecord(
    schemaVersion = RecordKind.WORKSPACE.currentSchemaVersion,
    requestsPerSecond = old.rate,
    requestBurst = old.burst,
    tokensPerSecond = old.rate * TOKENS_PER_REQUEST,
    tokenBurst = old.burst * TOKENS_PER_REQUEST,
)

/**
 * Decodes the [text] of a stored record and validates it like a file. Unknown keys are skipped, since a newer release may have written
 * them. A failure is returned as a message that does not contain secrets of the record.
 */
fun readStoredRecord(
    kind: RecordKind,
    name: String,
    text: String,
): Result<Record, String> {
    if (!isRecordName(kind, name)) return Err("name is not valid")
    val value =
        try {
            recordJson.parseToJsonElement(text) as? JsonObject
        } catch (_: SerializationException) {
            null
        } ?: return Err("value is not a JSON object")
    val schemaVersion = value.schemaVersionOrNull() ?: return Err("schemaVersion is missing")
    val schema = kind.schemaOrNull(schemaVersion) ?: return Err("schemaVersion $schemaVersion is not known")
    val problems = schema.fields.mapNotNull { field -> field.jsonProblemOrNull(value[field.name])?.let { "${field.name}: $it" } }
    return if (problems.isEmpty()) decodeOrError(kind, schema, value) else Err(problems.joinToString("; "))
}

/** Returns whether [name] is a valid name of a record of [kind]: `adapter@version` for a version, a single name for the others. */
fun isRecordName(
    kind: RecordKind,
    name: String,
): Boolean = if (kind == RecordKind.VERSION) {
    name.length <= MAX_NAME_LENGTH && name.split('@').let { it.size == 2 && it.all(::isName) }
} else {
    isName(name)
}

/** Returns the schema version of a record's JSON, or `null` if it is missing or not an integer. */
fun JsonObject.schemaVersionOrNull(): Int? = (this["schemaVersion"] as? JsonPrimitive)?.takeUnless { it.isString }?.intOrNull

private fun decodeOrError(
    kind: RecordKind,
    schema: ObjectSchema,
    value: JsonObject,
): Result<Record, String> = try {
    Ok(decodeRecord(kind, value))
} catch (_: IllegalArgumentException) {
    Err("value is not a valid ${schema.name}")
}

private fun decodeWorkspace(value: JsonObject): WorkspaceRecord = when (value.schemaVersionOrNull()) {
    1 -> upgrade(recordJson.decodeFromJsonElement<WorkspaceRecordV1>(value))
    else -> recordJson.decodeFromJsonElement<WorkspaceRecord>(value)
}

private fun Field.jsonProblemOrNull(value: JsonElement?): String? = when {
    value == null || value is JsonNull -> "key is missing".takeIf { required }
    value !is JsonPrimitive || value.isString != (type == ValueType.STRING) -> "expected ${type.name.lowercase()}"
    else -> read(value.content).getError()
}
