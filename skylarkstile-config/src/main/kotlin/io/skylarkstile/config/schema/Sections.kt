/*
 * Validates one section of an INI file and turns it into a JSON object.
 */
package io.skylarkstile.config.schema

import com.github.michaelbull.result.mapBoth
import io.skylarkstile.config.Finding
import io.skylarkstile.config.ini.IniSection
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/** Holds the outcome for a section: [value] has every valid key, and is complete when [findings] is empty. */
data class SectionResult(
    val value: JsonObject,
    val findings: List<Finding>,
)

/** Checks [section] of [file]: unknown and duplicate keys, values, and missing keys (reported on the header's line). */
fun ObjectSchema.check(
    file: String,
    section: IniSection,
): SectionResult {
    val findings = mutableListOf<Finding>()
    val values = linkedMapOf<String, JsonElement>()
    val lines = mutableMapOf<String, Int>()
    for (entry in section.entries) {
        val field = fieldOrNull(entry.key)
        val earlier = lines.putIfAbsent(entry.key, entry.line)

        fun report(problem: String) = findings.add(Finding(file, section.name, entry.key, entry.line, problem))
        when {
            field == null -> report("unknown key${hint(entry.key)}")
            earlier != null -> report("duplicate key; first on line $earlier")
            else -> field.read(entry.value).mapBoth({ values[entry.key] = it }, { report(it) })
        }
    }
    fields
        .filter { it.required && it.name !in lines }
        .mapTo(findings) { Finding(file, section.name, it.name, section.line, "key is missing") }
    return SectionResult(JsonObject(values), findings)
}

/** Returns findings in the order of the file: by line, then in the order in which they were found. */
fun List<Finding>.inFileOrder(): List<Finding> = sortedBy { it.line }

private fun ObjectSchema.hint(key: String): String =
    fields.firstOrNull { it.name.equals(key, ignoreCase = true) }?.let { "; did you mean ${it.name}?" } ?: ""
