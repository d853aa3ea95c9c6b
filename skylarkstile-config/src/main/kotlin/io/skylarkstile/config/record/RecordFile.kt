/*
 * Reads record files: INI files whose sections are `[kind name]`, for example `[workspace glass-cairo]`.
 */
package io.skylarkstile.config.record

import io.skylarkstile.config.Finding
import io.skylarkstile.config.ini.IniEntry
import io.skylarkstile.config.ini.IniFile
import io.skylarkstile.config.ini.IniSection
import io.skylarkstile.config.ini.readIni
import io.skylarkstile.config.schema.check
import io.skylarkstile.config.schema.inFileOrder
import kotlinx.serialization.json.JsonObject
import java.nio.file.Path

/** Holds a valid record with its location. [value] is the JSON form as in the file; [record] is in the current schema version. */
data class FileRecord(
    val id: RecordId,
    val value: JsonObject,
    val record: Record,
    val file: String,
    val section: IniSection,
) {
    /** Creates a finding at [key], or at the section header when the key is absent. */
    fun finding(
        key: String?,
        problem: String,
    ): Finding = Finding(file, section.name, key, section.entries.firstOrNull { it.key == key }?.line ?: section.line, problem)
}

/** Holds the records of several files; [findings] are in file order. */
data class RecordFiles(
    val records: List<FileRecord>,
    val findings: List<Finding>,
)

/** Reads the record files at [paths]. References between records are not checked here: see [crossCheck]. */
fun readRecordFiles(paths: List<Path>): RecordFiles = checkRecordFiles(paths.map(::readIni))

/** Validates the sections of [files]. */
fun checkRecordFiles(files: List<IniFile>): RecordFiles {
    val firstLocations = mutableMapOf<RecordId, String>()
    val records = mutableListOf<FileRecord>()
    val findings = mutableListOf<Finding>()
    for (ini in files) {
        val results = ini.sections.map { checkSection(ini.file, it, firstLocations) }
        results.mapNotNullTo(records) { it.record }
        findings += (ini.findings + results.flatMap { it.findings }).inFileOrder()
    }
    return RecordFiles(records, findings)
}

private class SectionOutcome(
    val record: FileRecord?,
    val findings: List<Finding>,
)

private fun checkSection(
    file: String,
    section: IniSection,
    firstLocations: MutableMap<RecordId, String>,
): SectionOutcome {
    fun failed(
        problem: String,
        entry: IniEntry? = null,
        key: String? = entry?.key,
    ) = SectionOutcome(null, listOf(Finding(file, section.name, key, entry?.line ?: section.line, problem)))

    val headerWords = section.name.split(Regex("\\s+"))
    val kind =
        RecordKind.ofLabelOrNull(headerWords.first())
            ?: return failed("unknown section; expected [kind name] with kind ${RecordKind.labels.joinToString(", ")}")
    if (headerWords.size != 2) return failed("expected [${kind.label} name]")
    if (!isRecordName(kind, headerWords[1])) return failed(nameProblem(kind))
    val id = RecordId(kind, headerWords[1])
    val earlier = firstLocations.putIfAbsent(id, "$file:${section.line}")
    if (earlier != null) return failed("duplicate record; first at $earlier")

    val entry = section.entries.firstOrNull { it.key == "schemaVersion" } ?: return failed("key is missing", key = "schemaVersion")
    val schema =
        entry.value.toIntOrNull()?.let(kind::schemaOrNull)
            ?: return failed("expected one of ${kind.schemaVersions.joinToString()}, found '${entry.value}'", entry)
    val result = schema.check(file, section)
    if (result.findings.isNotEmpty()) return SectionOutcome(null, result.findings)
    return SectionOutcome(FileRecord(id, result.value, decodeRecord(kind, result.value), file, section), emptyList())
}

private fun nameProblem(kind: RecordKind) =
    if (kind == RecordKind.VERSION) "expected [version adapter@version]" else "expected a name of a-z, 0-9, '.', '_' and '-' (at most 63)"
