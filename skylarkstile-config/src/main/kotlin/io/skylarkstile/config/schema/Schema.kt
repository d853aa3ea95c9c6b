/*
 * The schema of settings and records, read from the YAML file that the data classes are generated from.
 * Validation, the settings reference and the classes therefore stay consistent.
 */
package io.skylarkstile.config.schema

import org.snakeyaml.engine.v2.api.Load
import org.snakeyaml.engine.v2.api.LoadSettings

/** Type of a value in a file. */
enum class ValueType { STRING, INTEGER, NUMBER, BOOLEAN }

/** Describes one key. [required] means that a file must contain it; keys with a [default] may be absent. */
data class Field(
    val name: String,
    val type: ValueType,
    val required: Boolean,
    val description: String,
    val format: String? = null,
    val minimum: Double? = null,
    val maximum: Double? = null,
    val pattern: Regex? = null,
    val choices: List<String> = emptyList(),
    val default: Any? = null,
)

/** Describes one section or record. */
data class ObjectSchema(
    val name: String,
    val description: String,
    val fields: List<Field>,
) {
    private val byName = fields.associateBy { it.name }

    /** Returns the field called [name]. */
    fun fieldOrNull(name: String): Field? = byName[name]
}

/** Returns the schema called [name], for example `WorkspaceRecord`. Only schemas whose properties are all scalar values are supported. */
fun objectSchema(name: String): ObjectSchema = cache.getOrPut(name) { readSchema(name) }

/** Returns the sections of an entry instance's settings file, in the order of the schema. */
fun settingsSchemas(): Map<String, ObjectSchema> =
    properties("EntrySettings").mapValues { (_, property) -> objectSchema((property["\$ref"] as String).substringAfterLast('/')) }

private val cache = java.util.concurrent.ConcurrentHashMap<String, ObjectSchema>()

private val schemas: Map<String, Map<String, Any?>> by lazy {
    val stream =
        checkNotNull(ObjectSchema::class.java.getResourceAsStream("/skylarkstile.yaml")) { "skylarkstile.yaml is not on the class path" }
    val root = stream.use { Load(LoadSettings.builder().build()).loadFromInputStream(it) }.asMap()
    root
        .getValue("components")
        .asMap()
        .getValue("schemas")
        .asMap()
        .mapValues { it.value.asMap() }
}

@Suppress("UNCHECKED_CAST")
private fun Any?.asMap() = this as Map<String, Any?>

private fun properties(name: String): Map<String, Map<String, Any?>> = schemas
    .getValue(name)
    .getValue("properties")
    .asMap()
    .mapValues { it.value.asMap() }

private fun readSchema(name: String): ObjectSchema {
    val schema = schemas.getValue(name)
    val required = (schema["required"] as? List<*>).orEmpty().toSet()
    val fields = properties(name).map { (key, property) -> readField(key, property, key in required) }
    return ObjectSchema(name, schema["description"] as? String ?: "", fields)
}

private fun readField(
    name: String,
    property: Map<String, Any?>,
    isListedAsRequired: Boolean,
): Field = Field(
    name = name,
    type = ValueType.valueOf((property.getValue("type") as String).uppercase()),
    required = isListedAsRequired && "default" !in property,
    description = property["description"] as? String ?: "",
    format = property["format"] as? String,
    minimum = (property["minimum"] as? Number)?.toDouble(),
    maximum = (property["maximum"] as? Number)?.toDouble(),
    pattern = (property["pattern"] as? String)?.let(::Regex),
    choices = (property["enum"] as? List<*>).orEmpty().map { it.toString() },
    default = property["default"],
)
