/*
 * Validates one section of an INI file and turns it into a JSON object.
 */
package io.skylarkstile.config.schema

import com.github.michaelbull.result.mapBoth
import io.skylarkstile.config.Finding
import io.skylarkstile.config.ini.IniSection
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/** Holds the result of validating a section: [value] contains every valid key and is complete if [findings] is empty. */
data class SectionResult(
    val value: JsonObject,
    val findings: List<Finding>,
)

/** Checks [section] of [file] for unknown and duplicate keys, invalid values, and missing keys (reported at the section header). */
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
            field == null -> report("unknown key${spellingHint(entry.key)}")
            earlier != null -> report("duplicate key; first on line $earlier")
            else -> field.read(entry.value).mapBoth({ values[entry.key] = it }, { report(it) })
        }
    }
    fields
        .filter { it.required && it.name !in lines }
        .mapTo(findings) { Finding(file, section.name, it.name, section.line, "key is missing") }
    return SectionResult(JsonObject(values), findings)
}

/** Sorts findings by line; findings on the same line keep their order. */
fun List<Finding>.inFileOrder(): List<Finding> = sortedBy { it.line }

private fun ObjectSchema.spellingHint(key: String): String =
    fields.firstOrNull { it.name.equals(key, ignoreCase = true) }?.let { "; did you mean ${it.name}?" } ?: ""
