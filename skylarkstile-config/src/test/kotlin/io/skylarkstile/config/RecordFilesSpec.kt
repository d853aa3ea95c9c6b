/*
 * Tests record files: locations of findings, references between records, and both schema versions of a workspace.
 */
package io.skylarkstile.config

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.skylarkstile.config.ini.parseIni
import io.skylarkstile.config.record.Record
import io.skylarkstile.config.record.RecordFiles
import io.skylarkstile.config.record.RecordId
import io.skylarkstile.config.record.RecordKind
import io.skylarkstile.config.record.RecordWorld
import io.skylarkstile.config.record.checkRecordFiles
import io.skylarkstile.config.record.crossCheck

internal val validRecords =
    """
    [workspace glass-cairo]
    schemaVersion = 2
    requestsPerSecond = 10
    requestBurst = 20
    tokensPerSecond = 2560
    tokenBurst = 5120

    [workspace old-cairo]
    schemaVersion = 1
    rate = 3
    burst = 6

    [target engine-1]
    schemaVersion = 1
    type = engine
    address = 127.0.0.1:9001
    dataCentre = cairo-a
    baseModel = plate-7b

    [target registry-1]
    schemaVersion = 1
    type = service
    address = 127.0.0.1:9101
    dataCentre = cairo-a
    service = registry

    [adapter caption-fr]
    schemaVersion = 1
    workspace = glass-cairo
    baseModel = plate-7b
    activeVersion = v1

    [version caption-fr@v1]
    schemaVersion = 1
    adapter = caption-fr
    path = /weights/caption-fr/v1

    [route captions]
    schemaVersion = 1
    type = model
    workspace = glass-cairo
    adapter = caption-fr

    [route registry]
    schemaVersion = 1
    type = service
    workspace = glass-cairo
    service = registry
    """.trimIndent()

class RecordFilesSpec :
    FunSpec({
        fun read(text: String): RecordFiles = checkRecordFiles(listOf(parseIni("r.ini", text)))

        test("valid records have no findings and keep the schema version of the file") {
            val files = read(validRecords)
            files.findings shouldBe emptyList()
            crossCheck(files.records) shouldBe emptyList()
            files.records.size shouldBe 8
        }

        test("schema version 1 of a workspace counts each request as 256 tokens") {
            val old = read(validRecords).records.first { it.id.name == "old-cairo" }.record as Record.Workspace
            old.record.requestsPerSecond shouldBe 3.0
            old.record.tokensPerSecond shouldBe 768.0
            old.record.tokenBurst shouldBe 1536.0
            old.record.weight shouldBe 1.0
        }

        test("invalid headers, schema versions and values are reported with their location") {
            val text =
                """
                [workspace]
                [wokspace a]
                [workspace A]
                [workspace a]
                schemaVersion = 3
                [workspace b]
                rate = 1
                [version caption]
                [workspace c]
                schemaVersion = 1
                rate = 0
                requestsPerSecond = 1
                [workspace c]
                """.trimIndent()
            read(text).findings.map { it.toString() } shouldContainExactly
                listOf(
                    "r.ini:1: [workspace] expected [workspace name]",
                    "r.ini:2: [wokspace a] unknown section; expected [kind name] with kind workspace, target, version, adapter, key, route",
                    "r.ini:3: [workspace A] expected a name of a-z, 0-9, '.', '_' and '-' (at most 63)",
                    "r.ini:5: [workspace a] schemaVersion: expected one of 1, 2, found '3'",
                    "r.ini:6: [workspace b] schemaVersion: key is missing",
                    "r.ini:8: [version caption] expected [version adapter@version]",
                    "r.ini:9: [workspace c] burst: key is missing",
                    "r.ini:11: [workspace c] rate: 0.0 is below the minimum 0.01",
                    "r.ini:12: [workspace c] requestsPerSecond: unknown key",
                    "r.ini:13: [workspace c] duplicate record; first at r.ini:9",
                )
        }

        test("references to missing records are reported at their key") {
            val text =
                validRecords
                    .replace("[workspace glass-cairo]", "[workspace glas-cairo]")
                    .replace("baseModel = plate-7b\nactiveVersion = v1", "baseModel = plate-8b\nactiveVersion = v2")
                    .replace("adapter = caption-fr\npath", "adapter = caption-ar\npath")
                    .replace("address = 127.0.0.1:9101", "address = 127.0.0.1:9001")
                    .replace("service = registry\n\n", "service = registrar\n\n")
            crossCheck(read(text).records).map { it.toString().substringAfter(": ") } shouldContainExactly
                listOf(
                    "[target engine-1] address: is the address of target registry-1",
                    "[target registry-1] address: is the address of target engine-1",
                    "[adapter caption-fr] workspace: no workspace glass-cairo",
                    "[adapter caption-fr] baseModel: no engine target has base model plate-8b",
                    "[adapter caption-fr] activeVersion: no version caption-fr@v2",
                    "[version caption-fr@v1] adapter: must be caption-fr, as in the section's name",
                    "[version caption-fr@v1] adapter: no adapter caption-ar",
                    "[route captions] workspace: no workspace glass-cairo",
                    "[route registry] workspace: no workspace glass-cairo",
                    "[route registry] service: no target serves registry",
                )
        }

        test("records already stored satisfy references of a file") {
            val all = read(validRecords).records
            val (routes, others) = all.partition { it.id.kind == RecordKind.ROUTE }
            crossCheck(routes).size shouldBe 4
            crossCheck(routes, others.associate { it.id to it.record }) shouldBe emptyList()
        }

        test("dependents are found, so that a removal cannot leave a dangling reference") {
            val recordSet = RecordWorld(read(validRecords).records.associate { it.id to it.record })
            recordSet.dependents(RecordId(RecordKind.VERSION, "caption-fr@v1")) shouldBe listOf(RecordId(RecordKind.ADAPTER, "caption-fr"))
            recordSet.dependents(RecordId(RecordKind.ROUTE, "captions")) shouldBe emptyList()
        }
    })
