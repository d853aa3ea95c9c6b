/*
 * Validates record files and writes them to the platform. Nothing is written until every section of every file is valid and consistent
 * with the current records. Each record is then written on condition that it still has the version that was read; after the first failed
 * write no further group of records is started. The report lists what was written and what was not; running the command again skips the
 * written records and writes the remaining ones.
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
import io.skylarkstile.ctl.store.CurrentRecords
import io.skylarkstile.ctl.store.RecordStore
import io.skylarkstile.schema.recordJson
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.json.JsonObject
import java.nio.file.Path

/** Number of concurrent writes. The platform responds in milliseconds; when it throttles, writes are retried, so the run is only slower. */
private const val MAX_CONCURRENT_WRITES = 8

/** Writes the records of record files to the platform. */
internal class RecordApplier(
    private val records: RecordStore,
    private val console: Console,
) {
    /** Validates [files], then writes the records that differ from the current ones. */
    suspend fun apply(files: List<Path>): ExitCode {
        val read = checkRecordFiles(files.map(::readIni))
        if (read.findings.isNotEmpty()) return refuse(read.findings)
        val currentRecords = records.readAll().getOrElse { return unavailable(it) }
        val findings = crossCheck(read.records, currentRecords.table.records())
        val newProblems = problemsElsewhere(read.records, currentRecords)
        if (findings.isNotEmpty() || newProblems.isNotEmpty()) {
            newProblems.forEach(console.err)
            return refuse(findings)
        }
        return write(read.records.sortedBy { it.id.kind }, currentRecords.table)
    }

    private fun problemsElsewhere(
        files: List<FileRecord>,
        currentRecords: CurrentRecords,
    ): List<String> {
        val before = currentRecords.table.records()
        return introducedProblems(before, before + files.associate { it.id to it.record }, files.map { it.id }.toSet())
    }

    private suspend fun write(
        files: List<FileRecord>,
        table: RecordTable,
    ): ExitCode {
        val report = ApplyReport(console)
        val currentRecords = table.records()
        val (same, different) =
            files.partition {
                currentRecords[it.id] == it.record &&
                    schemaVersionOf(table, it) == it.value.schemaVersionOrNull()
            }
        same.forEach { report.unchanged(it.id.toString(), table.storedOrNull(it.id)?.version ?: 0) }
        val groups = different.groupBy { it.id.kind }.values.flatMap { it.chunked(MAX_CONCURRENT_WRITES) }
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
 * Validates settings files and record files without writing. References between records are resolved within [files] and, if a [records]
 * store is given, among the current records.
 */
internal suspend fun checkFiles(
    files: List<Path>,
    records: RecordStore?,
    console: Console,
): ExitCode {
    val (settings, others) = files.map(::readIni).partition(::isSettings)
    val read = checkRecordFiles(others)
    val currentRecords = records?.readAll()
    currentRecords?.getError()?.let {
        console.err(it)
        return ExitCode.UNAVAILABLE
    }
    val references =
        if (read.findings.isEmpty()) {
            crossCheck(
                read.records,
                currentRecords
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
