/*
 * Generates the reference of settings and records, docs/SETTINGS.md, from the schema.
 */
package io.skylarkstile.config.reference

import io.skylarkstile.config.record.RecordKind
import io.skylarkstile.config.schema.Field
import io.skylarkstile.config.schema.ObjectSchema
import io.skylarkstile.config.schema.ValueType
import io.skylarkstile.config.schema.plain
import io.skylarkstile.config.schema.settingsSchemas
import java.nio.file.Files
import java.nio.file.Path

/** Returns the text of the page. */
fun settingsReference(): String = buildString {
    appendLine("# Settings and records")
    appendLine()
    appendLine("Generated from `skylarkstile-schema/src/main/resources/skylarkstile.yaml`; run `bin/settings-reference` to regenerate it.")
    appendLine()
    appendLine("## Settings of an entry instance")
    appendLine()
    appendLine("INI file, read by `bin/skylarkstile-entry --settings <file.ini>`; `skylarkctl check <file.ini>` validates it.")
    settingsSchemas().forEach { (section, schema) -> appendSchema("`[$section]`", schema, schema.description.substringAfter("] ")) }
    appendLine()
    appendLine("## Records")
    appendLine()
    appendLine("Record files contain one section `[kind name]` for each record; `skylarkctl apply <files...>` writes them.")
    appendLine("All schema versions of a kind listed here can be read, also at the same time.")
    for (kind in RecordKind.entries) {
        for (version in kind.schemaVersions) {
            val schema = checkNotNull(kind.schemaOrNull(version))
            appendSchema("`[${kind.label} ${exampleName(kind)}]`, schemaVersion $version", schema, schema.description)
        }
    }
}

/** Writes the page to the path given as the only argument. */
fun main(args: Array<String>) {
    Files.writeString(Path.of(args.single()), settingsReference())
}

private fun exampleName(kind: RecordKind) = if (kind == RecordKind.VERSION) "<adapter>@<version>" else "<name>"

private fun StringBuilder.appendSchema(
    title: String,
    schema: ObjectSchema,
    description: String,
) {
    appendLine()
    appendLine("### $title")
    appendLine()
    appendLine(description)
    appendLine()
    appendLine("| key | type | default | description |")
    appendLine("| --- | --- | --- | --- |")
    schema.fields.forEach { appendLine("| `${it.name}` | ${typeText(it)} | ${defaultText(it)} | ${it.description} |") }
}

private fun defaultText(field: Field): String = when {
    field.required -> "required"
    field.default == null -> "absent"
    field.default == "" -> "empty"
    else -> "`${field.default}`"
}

private fun typeText(field: Field): String {
    val low = field.minimum
    val high = field.maximum
    val pattern = field.pattern
    return when {
        field.choices.isNotEmpty() -> field.choices.joinToString(" or ") { "`$it`" }
        low != null && low == high -> "`${plain(low)}`"
        low != null && high != null -> "${typeName(field.type)}, ${plain(low)} to ${plain(high)}"
        field.format == "address" -> "`ip:port`"
        field.format == "name" -> "name"
        pattern != null -> "text, `${pattern.pattern}`"
        else -> typeName(field.type)
    }
}

private fun typeName(type: ValueType): String = when (type) {
    ValueType.STRING -> "text"
    ValueType.INTEGER -> "whole number"
    ValueType.NUMBER -> "number"
    ValueType.BOOLEAN -> "`true` or `false`"
}
