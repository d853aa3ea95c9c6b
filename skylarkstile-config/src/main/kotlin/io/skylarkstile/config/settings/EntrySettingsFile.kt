/*
 * Reads and validates the settings file of an entry instance.
 */
package io.skylarkstile.config.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.skylarkstile.config.Finding
import io.skylarkstile.config.ini.IniFile
import io.skylarkstile.config.ini.IniSection
import io.skylarkstile.config.ini.readIni
import io.skylarkstile.config.schema.check
import io.skylarkstile.config.schema.inFileOrder
import io.skylarkstile.config.schema.isAddress
import io.skylarkstile.config.schema.settingsSchemas
import io.skylarkstile.schema.generated.ClusterSettings
import io.skylarkstile.schema.generated.EntrySettings
import io.skylarkstile.schema.recordJson
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.decodeFromJsonElement
import java.nio.file.Path

/** Minimum lease length in heartbeats: after 3 missed heartbeats a removal is requested, which must not precede the end of the lease. */
private const val HEARTBEATS_PER_LEASE = 3

/** Reads the settings at [path], or returns all findings in file order. Sections without required keys may be absent. */
fun loadEntrySettings(path: Path): Result<EntrySettings, List<Finding>> = checkEntrySettings(readIni(path))

/** Validates the settings in [ini]. */
fun checkEntrySettings(ini: IniFile): Result<EntrySettings, List<Finding>> {
    val schemas = settingsSchemas()
    val findings = ini.findings.toMutableList()
    val values = mutableMapOf<String, JsonObject>()
    val firstByName = mutableMapOf<String, IniSection>()
    for (section in ini.sections) {
        val schema = schemas[section.name]
        val earlier = firstByName.putIfAbsent(section.name, section)
        when {
            schema == null -> {
                findings += Finding(ini.file, section.name, null, section.line, "unknown section")
            }

            earlier != null -> {
                findings += Finding(ini.file, section.name, null, section.line, "duplicate section; first on line ${earlier.line}")
            }

            else -> {
                val result = schema.check(ini.file, section)
                findings += result.findings
                values[section.name] = result.value
            }
        }
    }
    if (ini.findings.none { it.line == 0 }) findings += missingSections(ini, firstByName.keys)
    schemas.keys.forEach { values.putIfAbsent(it, JsonObject(emptyMap())) }
    if (findings.isNotEmpty()) return Err(findings.inFileOrder())
    val settings = recordJson.decodeFromJsonElement<EntrySettings>(JsonObject(values))
    val relationFindings = checkKeyRelations(ini.file, settings.cluster, firstByName["cluster"])
    return if (relationFindings.isEmpty()) Ok(settings) else Err(relationFindings.inFileOrder())
}

private fun missingSections(
    ini: IniFile,
    presentSections: Set<String>,
): List<Finding> = settingsSchemas()
    .filter { (name, schema) -> name !in presentSections && schema.fields.any { it.required } }
    .map { (name, schema) ->
        val keys = schema.fields.filter { it.required }.joinToString { it.name }
        Finding(ini.file, name, null, Int.MAX_VALUE, "section is missing (keys $keys)")
    }.map { it.copy(line = lastLine(ini)) }

private fun lastLine(ini: IniFile): Int = ini.sections.lastOrNull()?.let { it.entries.lastOrNull()?.line ?: it.line } ?: 1

private fun checkKeyRelations(
    file: String,
    cluster: ClusterSettings,
    section: IniSection?,
): List<Finding> {
    fun finding(
        key: String,
        problem: String,
    ): Finding = Finding(file, "cluster", key, section?.entries?.firstOrNull { it.key == key }?.line ?: section?.line ?: 1, problem)

    val findings = mutableListOf<Finding>()
    cluster.seedList().filterNot { isAddress(it) }.mapTo(findings) { finding("seeds", "expected ip:port, found '$it'") }
    if (cluster.heartbeatMs * HEARTBEATS_PER_LEASE > cluster.leaseMs) {
        findings += finding("leaseMs", "must be at least $HEARTBEATS_PER_LEASE x heartbeatMs (${cluster.heartbeatMs})")
    }
    if (cluster.sendMarginMs >= cluster.leaseMs) findings += finding("sendMarginMs", "must be below leaseMs (${cluster.leaseMs})")
    return findings
}

/** Returns the seed addresses as a list. */
fun ClusterSettings.seedList(): List<String> = seeds.split(',').map { it.trim() }.filter { it.isNotEmpty() }
