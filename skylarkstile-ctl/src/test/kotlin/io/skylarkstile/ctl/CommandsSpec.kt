/*
 * Checks the commands on single records, usage errors, and that keys, salts and hashes are not printed after a key was created.
 */
package io.skylarkstile.ctl

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainInOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.skylarkstile.config.key.checkKeyOrNull
import io.skylarkstile.schema.generated.KeyRecord
import io.skylarkstile.schema.recordJson

class CommandsSpec :
    FunSpec({
        suspend fun runnerWithRecords() = CommandRunner().also { it.apply(records) }

        test("set changes keys under the version read, and refuses unknown keys, bad values and new faults") {
            val runner = runnerWithRecords()
            runner.call("set", "target", "engine-1", "slots=24", "fencing=true") shouldBe 0
            runner.out shouldBe listOf("target engine-1: updated (version 2)")
            runner.store.value("target/engine-1")!! shouldContain "\"slots\":24"
            runner.call("set", "target", "engine-1", "slots=0", "slot=1") shouldBe 1
            runner.err.map { it.substringBefore(';') } shouldContainExactly
                listOf("target engine-1: slots: 0 is below the minimum 1", "target engine-1: slot: unknown key")
            runner.call("set", "adapter", "caption-fr", "activeVersion=v2") shouldBe 1
            runner.err shouldBe listOf("adapter caption-fr: activeVersion: no version caption-fr@v2")
        }

        test("of two operators with the same version one wins, and the other is told the current version") {
            val runner = runnerWithRecords()
            runner.call("set", "workspace", "glass-cairo", "rate=5", "--if-version", "1") shouldBe 0
            runner.call("set", "workspace", "glass-cairo", "rate=6", "--if-version", "1") shouldBe 1
            runner.err shouldBe listOf("workspace glass-cairo: conflict, not written; current version 2")
            runner.store.beforePut = { null.also { runner.store.forceWrite("workspace", "glass-cairo", "{}") } }
            runner.call("set", "workspace", "glass-cairo", "rate=7") shouldBe 1
            runner.err shouldBe listOf("workspace glass-cairo: conflict, not written; current version 3")
        }

        test("an old workspace becomes the new form when its schemaVersion is set") {
            val runner = runnerWithRecords()
            runner.call("set", "workspace", "glass-cairo", "schemaVersion=2", "weight=2") shouldBe 0
            runner.call("explain", "workspace", "glass-cairo")
            runner.out shouldContainInOrder listOf("  tokensPerSecond = 768.0", "  tokenBurst = 1536.0", "  weight = 2.0")
        }

        test("a key is printed once, works, and is neither stored nor shown; withdrawing it is recorded") {
            val runner = runnerWithRecords()
            runner.call("create-key", "reader", "--workspace", "glass-cairo") shouldBe 0
            val key = runner.out.single()
            val stored = runner.store.value("key/reader")!!
            val record = recordJson.decodeFromString<KeyRecord>(stored)
            checkKeyOrNull(key, mapOf("reader" to record))!!.id shouldBe "reader"
            stored shouldNotContain key.substringAfterLast('-')
            for (command in listOf(listOf("get", "key", "reader"), listOf("list", "key"), listOf("explain", "key", "reader"))) {
                runner.call(*command.toTypedArray()) shouldBe 0
                runner.out.joinToString() shouldNotContain record.hash
                runner.out.joinToString() shouldNotContain record.salt
            }
            runner.call("create-key", "reader", "--workspace", "glass-cairo") shouldBe 1
            runner.err shouldBe listOf("key reader: conflict, not written; current version 1")
            runner.call("withdraw", "key", "reader") shouldBe 0
            recordJson.decodeFromString<KeyRecord>(runner.store.value("key/reader")!!).withdrawn shouldBe true
        }

        test("explain follows dependencies, and remove refuses what others need") {
            val runner = runnerWithRecords()
            runner.call("explain", "route", "captions") shouldBe 0
            runner.out shouldContainInOrder
                listOf(
                    "  needs workspace glass-cairo (version 1)",
                    "  needs adapter caption-fr (version 1)",
                    "    needs version caption-fr@v1 (version 1)",
                )
            runner.call("remove", "workspace", "glass-cairo") shouldBe 1
            runner.err shouldContain "adapter caption-fr: workspace: no workspace glass-cairo"
            runner.call("remove", "route", "captions") shouldBe 0
            runner.call("get", "route", "captions") shouldBe 1
        }

        test("drain, list, status and check work on the records in force") {
            val runner = runnerWithRecords()
            runner.call("drain", "target", "engine-1") shouldBe 0
            runner.call("status", "--instance", "127.0.0.1:9") shouldBe 3
            runner.out shouldContainInOrder
                listOf(
                    "roster: no members yet",
                    "records: 1 workspace, 1 target, 1 version, 1 adapter, 0 key, 1 route",
                    "target engine-1 engine 127.0.0.1:9001 cairo-a plate-7b draining",
                    "instance 127.0.0.1:9: no answer",
                )
            runner.call("check", file("[route x]\nschemaVersion = 1\ntype = model\nworkspace = glass-cairo").toString()) shouldBe 1
            runner.err.single().substringAfter(": ") shouldBe "[route x] adapter: key is missing on a model route"
        }

        test("usage errors are one line and exit code 2, and help names the exit codes") {
            val runner = CommandRunner()
            runner.call("get", "planet", "x") shouldBe 2
            runner.err.single() shouldContain "unknown kind 'planet'"
            runner.call("frobnicate") shouldBe 2
            runner.call("set", "target", "t", "slots", "--if-version", "1") shouldBe 2
            runner.call("get", "target") shouldBe 2
            runner.err.size shouldBe 1
            runner.call("--help") shouldBe 0
            runner.out.single() shouldContain "3 -> the platform or an instance gives no answer"
        }
    })
