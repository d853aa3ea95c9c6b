/*
 * Checks that apply writes all or says exactly what it wrote, and that a second run completes it.
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
            val operator = Operator()
            operator.apply(records) shouldBe 0
            operator.out.take(3) shouldContainExactly
                listOf(
                    "workspace glass-cairo: created (version 1)",
                    "target engine-1: created (version 1)",
                    "version caption-fr@v1: created (version 1)",
                )
            operator.apply(records) shouldBe 0
            operator.out.last() shouldBe "5 unchanged"
            operator.apply(records.replace("rate = 3", "rate = 4")) shouldBe 0
            operator.out shouldContain "workspace glass-cairo: updated (version 2)"
        }

        test("nothing is written when any section of any file has a finding") {
            val operator = Operator()
            val bad = file("[workspace b]\nschemaVersion = 1\nrate = x\nburst = 1\n[adapter a]\nschemaVersion = 1\n")
            operator.call("apply", file(records).toString(), bad.toString()) shouldBe 1
            operator.err.size shouldBe 5
            operator.err.first() shouldBe "$bad:3: [workspace b] rate: expected a number, found 'x'"
            operator.store.keys() shouldBe emptySet()
        }

        test("a file that would break a record in force elsewhere is refused") {
            val operator = Operator()
            operator.apply(records)
            operator.apply("[version caption-fr@v1]\nschemaVersion = 1\nadapter = caption-fr\npath = /x\nwithdrawn = true") shouldBe 1
            operator.err.first() shouldBe "adapter caption-fr: activeVersion: version caption-fr@v1 is withdrawn"
        }

        test("a conflict part way names the current version and what was not written, and a second run completes it") {
            val operator = Operator()
            operator.store.beforePut = {
                if (it == "version/caption-fr@v1") operator.store.force("version", "caption-fr@v1", """{"schemaVersion":1}""")
                null
            }
            operator.apply(records) shouldBe 1
            operator.out.dropLast(1) shouldContainExactly
                listOf(
                    "workspace glass-cairo: created (version 1)",
                    "target engine-1: created (version 1)",
                    "version caption-fr@v1: conflict, not written; current version 1",
                    "adapter caption-fr: not written",
                    "route captions: not written",
                )
            operator.store.beforePut = { null }
            operator.apply(records) shouldBe 0
            operator.out.last() shouldBe "2 created, 2 unchanged, 1 updated"
        }

        test("a lost answer is read back, so a write that took effect is not reported as a conflict") {
            val operator = Operator()
            val lost = mutableSetOf<String>()
            operator.store.beforePut = { key -> StoreError.Unavailable("time limit", mayHaveApplied = true).takeIf { lost.add(key) } }
            operator.apply(records) shouldBe 0
            operator.out.last() shouldBe "5 created"
        }

        // Guards against a report that differs from the store, whichever write fails and however.
        test("the report agrees with the store under any single fault, and a second run completes the files") {
            checkAll(60, Arb.int(0, 4), Arb.int(0, 3)) { position, fault ->
                val operator = Operator()
                var writes = 0
                operator.store.beforePut = { key ->
                    val hit = writes++ == position
                    when {
                        !hit -> null
                        fault == 0 -> null.also { operator.store.force(key.substringBefore('/'), key.substringAfter('/'), "{}") }
                        fault == 1 -> StoreError.Unavailable("down", false)
                        fault == 2 -> StoreError.Unavailable("down", true)
                        else -> StoreError.Throttled
                    }
                }
                operator.apply(records)
                val reported = operator.out.filter { ": created" in it }.map { it.substringBefore(':').replace(' ', '/') }
                reported.toSet() shouldBe
                    operator.store
                        .keys()
                        .filter { operator.store.value(it) != "{}" }
                        .toSet()
                operator.store.beforePut = { null }
                operator.apply(records) shouldBe 0
                operator.store.keys().size shouldBe 5
            }
        }

        test("an unreachable platform is exit code 3 and says that nothing was written") {
            val operator = Operator()
            operator.store.down = true
            operator.apply(records) shouldBe 3
            operator.err shouldBe listOf("no answer from the platform: connection refused; nothing was written")
        }
    })
