/*
 * Applies and checks files. Nothing is written before every section of every file is valid and fits the records in force. Then each
 * record is written under the version that was read; the first conflict ends the run, and the report says what was written and what
 * was not. A second run finds the written records unchanged and goes on from there.
 */
package io.skylarkstile.ctl.command

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import io.skylarkstile.config.Finding
import io.skylarkstile.config.ini.IniFile
import io.skylarkstile.config.ini.readIni
import io.skylarkstile.config.record.FileRecord
import io.skylarkstile.config.record.RecordTable
import io.skylarkstile.config.record.checkRecordFiles
import io.skylarkstile.config.record.crossCheck
import io.skylarkstile.config.record.schemaVersionOrNull
import io.skylarkstile.config.schema.settingsSchemas
import io.skylarkstile.config.settings.checkEntrySettings
import io.skylarkstile.ctl.store.PresentRecords
import io.skylarkstile.ctl.store.RecordStore
import io.skylarkstile.schema.recordJson
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.json.JsonObject
import java.nio.file.Path

/** Writes in flight. The platform answers in milliseconds and throttles beyond its rate, which slows the run down without failing it. */
private const val WRITES_AT_ONCE = 8

internal class Applying(
    private val records: RecordStore,
    private val console: Console,
) {
    /** Validates [files], then writes what differs from the records in force. */
    suspend fun apply(files: List<Path>): ExitCode {
        val read = checkRecordFiles(files.map(::readIni))
        if (read.findings.isNotEmpty()) return refuse(read.findings)
        val present = records.readAll().getOrElse { return unavailable(it) }
        val findings = crossCheck(read.records, present.table.records())
        val elsewhere = faultsElsewhere(read.records, present)
        if (findings.isNotEmpty() || elsewhere.isNotEmpty()) {
            elsewhere.forEach(console.err)
            return refuse(findings)
        }
        return write(read.records.sortedBy { it.id.kind }, present.table)
    }

    private fun faultsElsewhere(
        files: List<FileRecord>,
        present: PresentRecords,
    ): List<String> {
        val before = present.table.records()
        return newFaults(before, before + files.associate { it.id to it.record }, files.map { it.id }.toSet())
    }

    private suspend fun write(
        files: List<FileRecord>,
        table: RecordTable,
    ): ExitCode {
        val report = ApplyReport(console)
        val present = table.records()
        val (same, different) =
            files.partition {
                present[it.id] == it.record &&
                    schemaVersionOf(table, it) == it.value.schemaVersionOrNull()
            }
        same.forEach { report.unchanged(it.id.toString(), table.storedOrNull(it.id)?.version ?: 0) }
        val groups = different.groupBy { it.id.kind }.values.flatMap { it.chunked(WRITES_AT_ONCE) }
        for (group in groups) {
            if (report.stopped) group.forEach { report.notReached(it.id.toString()) } else writeGroup(group, table, report)
        }
        return report.finish()
    }

    private suspend fun writeGroup(
        group: List<FileRecord>,
        table: RecordTable,
        report: ApplyReport,
    ) = coroutineScope {
        val outcomes =
            group.map { file ->
                async { records.write(file.id, file.value.toString(), table.storedOrNull(file.id)?.version ?: 0) }
            }
        group.zip(outcomes.awaitAll()).forEach { (file, outcome) ->
            report.outcome(file.id.toString(), table.storedOrNull(file.id) == null, outcome)
        }
    }

    private fun refuse(findings: List<Finding>): ExitCode {
        findings.forEach { console.err(it.toString()) }
        console.err("nothing was written")
        return ExitCode.REFUSED
    }

    private fun unavailable(reason: String): ExitCode {
        console.err("$reason; nothing was written")
        return ExitCode.UNAVAILABLE
    }
}

/**
 * Checks settings and record files without writing. References are followed among the files, and among the records in force when there is
 * a [records] store.
 */
internal suspend fun checkFiles(
    files: List<Path>,
    records: RecordStore?,
    console: Console,
): ExitCode {
    val (settings, others) = files.map(::readIni).partition(::isSettings)
    val read = checkRecordFiles(others)
    val present = records?.readAll()
    present?.getError()?.let {
        console.err(it)
        return ExitCode.UNAVAILABLE
    }
    val references =
        if (read.findings.isEmpty()) {
            crossCheck(
                read.records,
                present
                    ?.get()
                    ?.table
                    ?.records()
                    .orEmpty(),
            )
        } else {
            emptyList()
        }
    val findings = settings.flatMap { checkEntrySettings(it).getError().orEmpty() } + read.findings + references
    findings.forEach { console.err(it.toString()) }
    if (findings.isEmpty()) console.out("${settings.size} settings files and ${read.records.size} records are valid")
    return if (findings.isEmpty()) ExitCode.OK else ExitCode.REFUSED
}

private fun isSettings(file: IniFile) = file.sections.any { it.name in settingsSchemas() }

private fun schemaVersionOf(
    table: RecordTable,
    file: FileRecord,
): Int? = table.storedOrNull(file.id)?.value?.let { (recordJson.parseToJsonElement(it) as? JsonObject)?.schemaVersionOrNull() }
