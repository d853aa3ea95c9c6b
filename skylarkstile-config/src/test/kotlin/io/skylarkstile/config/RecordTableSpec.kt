/*
 * Tests the table of stored records: unreadable records are left out and reported, and no change restores an older revision.
 */
package io.skylarkstile.config

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import io.skylarkstile.config.record.RecordTable
import io.skylarkstile.schema.generated.StoredRecord

private fun stored(
    kind: String,
    name: String,
    revision: Long,
    value: String?,
) = StoredRecord(kind, name, revision, revision, value)

private const val OLD = """{"schemaVersion":1,"rate":2,"burst":4}"""
private const val NEW =
    """{"schemaVersion":2,"requestsPerSecond":9,"requestBurst":9,"tokensPerSecond":9,"tokenBurst":9,"later":true}"""

class RecordTableSpec :
    FunSpec({
        test("old and new schema versions can be in one snapshot, and keys of newer releases are skipped") {
            val snapshot =
                RecordTable.empty.with(listOf(stored("workspace", "a", 1, OLD), stored("workspace", "b", 2, NEW))).snapshot(2, setOf("t"))
            snapshot.workspaces.getValue("a").tokensPerSecond shouldBe 512.0
            snapshot.workspaces.getValue("b").tokensPerSecond shouldBe 9.0
            snapshot.leavingTargets shouldBe setOf("t")
        }

        test("unreadable records are left out and reported without their values") {
            val table =
                RecordTable.empty.with(
                    listOf(
                        stored("workspace", "broken", 1, "{"),
                        stored("workspace", "future", 2, """{"schemaVersion":7}"""),
                        stored("workspace", "bounds", 3, """{"schemaVersion":1,"rate":-1,"burst":"4"}"""),
                        stored("key", "k", 4, """{"schemaVersion":1,"workspace":"a","salt":"5ec2e7","hash":"5ec2e7"}"""),
                        stored("planet", "p", 5, "{}"),
                        stored("workspace", "fine", 6, OLD),
                    ),
                )
            table.snapshot(6, emptySet()).workspaces.keys shouldBe setOf("fine")
            table.unreadable.map { "${it.kind} ${it.name}: ${it.problem}" } shouldContainExactly
                listOf(
                    "workspace broken: value is not a JSON object",
                    "workspace future: schemaVersion 7 is not known",
                    "workspace bounds: rate: -1.0 is below the minimum 0.01; burst: expected number",
                    "key k: salt: value does not match ^[0-9a-f]{32}${'$'}; hash: value does not match ^[0-9a-f]{64}${'$'}",
                    "planet p: kind is not known",
                )
            table.unreadable.toString() shouldNotContain "5ec2e7"
        }

        test("a removal deletes the record, and a late older change does not replace a newer record") {
            val table = RecordTable.empty.with(listOf(stored("workspace", "a", 5, NEW), stored("workspace", "b", 6, NEW)))
            val next = table.with(listOf(stored("workspace", "a", 4, OLD), stored("workspace", "b", 7, null)))
            next.snapshot(7, emptySet()).workspaces.mapValues { it.value.tokensPerSecond } shouldBe mapOf("a" to 9.0)
            next.replacedBy(listOf(stored("workspace", "c", 8, OLD))).stored.map { it.name } shouldBe listOf("c")
        }
    })
