/*
 * Checks that apply either writes all records or reports runArguments which ones it wrote, and that a second run writes the rest.
 */
package io.skylarkstile.ctl

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import io.skylarkstile.transport.platform.StoreError

class ApplySpec :
    FunSpec({
        test("records are created once, found unchanged by a second run, and updated when the file changes") {
            val runner = CommandRunner()
            runner.apply(records) shouldBe 0
            runner.out.take(3) shouldContainExactly
                listOf(
                    "workspace glass-cairo: created (version 1)",
                    "target engine-1: created (version 1)",
                    "version caption-fr@v1: created (version 1)",
                )
            runner.apply(records) shouldBe 0
            runner.out.last() shouldBe "5 unchanged"
            runner.apply(records.replace("rate = 3", "rate = 4")) shouldBe 0
            runner.out shouldContain "workspace glass-cairo: updated (version 2)"
        }

        test("nothing is written when any section of any file has a finding") {
            val runner = CommandRunner()
            val bad = file("[workspace b]\nschemaVersion = 1\nrate = x\nburst = 1\n[adapter a]\nschemaVersion = 1\n")
            runner.call("apply", file(records).toString(), bad.toString()) shouldBe 1
            runner.err.size shouldBe 5
            runner.err.first() shouldBe "$bad:3: [workspace b] rate: expected a number, found 'x'"
            runner.store.keys() shouldBe emptySet()
        }

        test("a file that would break a record in force elsewhere is refused") {
            val runner = CommandRunner()
            runner.apply(records)
            runner.apply("[version caption-fr@v1]\nschemaVersion = 1\nadapter = caption-fr\npath = /x\nwithdrawn = true") shouldBe 1
            runner.err.first() shouldBe "adapter caption-fr: activeVersion: version caption-fr@v1 is withdrawn"
        }

        test("a conflict part way names the current version and what was not written, and a second run completes it") {
            val runner = CommandRunner()
            runner.store.beforePut = {
                if (it == "version/caption-fr@v1") runner.store.forceWrite("version", "caption-fr@v1", """{"schemaVersion":1}""")
                null
            }
            runner.apply(records) shouldBe 1
            runner.out.dropLast(1) shouldContainExactly
                listOf(
                    "workspace glass-cairo: created (version 1)",
                    "target engine-1: created (version 1)",
                    "version caption-fr@v1: conflict, not written; current version 1",
                    "adapter caption-fr: not written",
                    "route captions: not written",
                )
            runner.store.beforePut = { null }
            runner.apply(records) shouldBe 0
            runner.out.last() shouldBe "2 created, 2 unchanged, 1 updated"
        }

        test("a lost answer is read back, so a write that took effect is not reported as a conflict") {
            val runner = CommandRunner()
            val lost = mutableSetOf<String>()
            runner.store.beforePut = { key -> StoreError.Unavailable("time limit", mayHaveApplied = true).takeIf { lost.add(key) } }
            runner.apply(records) shouldBe 0
            runner.out.last() shouldBe "5 created"
        }

        // Guards against a report that disagrees with the store, for each position of the failing write and each kind of failure.
        test("the report agrees with the store under any single fault, and a second run completes the files") {
            checkAll(60, Arb.int(0, 4), Arb.int(0, 3)) { position, fault ->
                val runner = CommandRunner()
                var writes = 0
                runner.store.beforePut = { key ->
                    val isFailing = writes++ == position
                    when {
                        !isFailing -> null
                        fault == 0 -> null.also { runner.store.forceWrite(key.substringBefore('/'), key.substringAfter('/'), "{}") }
                        fault == 1 -> StoreError.Unavailable("down", false)
                        fault == 2 -> StoreError.Unavailable("down", true)
                        else -> StoreError.Throttled
                    }
                }
                runner.apply(records)
                val reported = runner.out.filter { ": created" in it }.map { it.substringBefore(':').replace(' ', '/') }
                reported.toSet() shouldBe
                    runner.store
                        .keys()
                        .filter { runner.store.value(it) != "{}" }
                        .toSet()
                runner.store.beforePut = { null }
                runner.apply(records) shouldBe 0
                runner.store.keys().size shouldBe 5
            }
        }

        test("an unreachable platform is exit code 3 and says that nothing was written") {
            val runner = CommandRunner()
            runner.store.down = true
            runner.apply(records) shouldBe 3
            runner.err shouldBe listOf("no answer from the platform: connection refused; nothing was written")
        }
    })
