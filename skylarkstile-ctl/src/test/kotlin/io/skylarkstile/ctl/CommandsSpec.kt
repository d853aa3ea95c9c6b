/*
 * Checks the commands on single records, usage faults, and that no key or hash is shown after its creation.
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
        suspend fun prepared() = Operator().also { it.apply(records) }

        test("set changes keys under the version read, and refuses unknown keys, bad values and new faults") {
            val operator = prepared()
            operator.call("set", "target", "engine-1", "slots=24", "fencing=true") shouldBe 0
            operator.out shouldBe listOf("target engine-1: updated (version 2)")
            operator.store.value("target/engine-1")!! shouldContain "\"slots\":24"
            operator.call("set", "target", "engine-1", "slots=0", "slot=1") shouldBe 1
            operator.err.map { it.substringBefore(';') } shouldContainExactly
                listOf("target engine-1: slots: 0 is below the minimum 1", "target engine-1: slot: unknown key")
            operator.call("set", "adapter", "caption-fr", "activeVersion=v2") shouldBe 1
            operator.err shouldBe listOf("adapter caption-fr: activeVersion: no version caption-fr@v2")
        }

        test("of two operators with the same version one wins, and the other is told the current version") {
            val operator = prepared()
            operator.call("set", "workspace", "glass-cairo", "rate=5", "--if-version", "1") shouldBe 0
            operator.call("set", "workspace", "glass-cairo", "rate=6", "--if-version", "1") shouldBe 1
            operator.err shouldBe listOf("workspace glass-cairo: conflict, not written; current version 2")
            operator.store.beforePut = { null.also { operator.store.force("workspace", "glass-cairo", "{}") } }
            operator.call("set", "workspace", "glass-cairo", "rate=7") shouldBe 1
            operator.err shouldBe listOf("workspace glass-cairo: conflict, not written; current version 3")
        }

        test("an old workspace becomes the new form when its schemaVersion is set") {
            val operator = prepared()
            operator.call("set", "workspace", "glass-cairo", "schemaVersion=2", "weight=2") shouldBe 0
            operator.call("explain", "workspace", "glass-cairo")
            operator.out shouldContainInOrder listOf("  tokensPerSecond = 768.0", "  tokenBurst = 1536.0", "  weight = 2.0")
        }

        test("a key is printed once, works, and is neither stored nor shown; withdrawing it is recorded") {
            val operator = prepared()
            operator.call("create-key", "reader", "--workspace", "glass-cairo") shouldBe 0
            val key = operator.out.single()
            val stored = operator.store.value("key/reader")!!
            val record = recordJson.decodeFromString<KeyRecord>(stored)
            checkKeyOrNull(key, mapOf("reader" to record))!!.id shouldBe "reader"
            stored shouldNotContain key.substringAfterLast('-')
            for (command in listOf(listOf("get", "key", "reader"), listOf("list", "key"), listOf("explain", "key", "reader"))) {
                operator.call(*command.toTypedArray()) shouldBe 0
                operator.out.joinToString() shouldNotContain record.hash
                operator.out.joinToString() shouldNotContain record.salt
            }
            operator.call("create-key", "reader", "--workspace", "glass-cairo") shouldBe 1
            operator.err shouldBe listOf("key reader: conflict, not written; current version 1")
            operator.call("withdraw", "key", "reader") shouldBe 0
            recordJson.decodeFromString<KeyRecord>(operator.store.value("key/reader")!!).withdrawn shouldBe true
        }

        test("explain follows dependencies, and remove refuses what others need") {
            val operator = prepared()
            operator.call("explain", "route", "captions") shouldBe 0
            operator.out shouldContainInOrder
                listOf(
                    "  needs workspace glass-cairo (version 1)",
                    "  needs adapter caption-fr (version 1)",
                    "    needs version caption-fr@v1 (version 1)",
                )
            operator.call("remove", "workspace", "glass-cairo") shouldBe 1
            operator.err shouldContain "adapter caption-fr: workspace: no workspace glass-cairo"
            operator.call("remove", "route", "captions") shouldBe 0
            operator.call("get", "route", "captions") shouldBe 1
        }

        test("drain, list, status and check work on the records in force") {
            val operator = prepared()
            operator.call("drain", "target", "engine-1") shouldBe 0
            operator.call("status", "--instance", "127.0.0.1:9") shouldBe 3
            operator.out shouldContainInOrder
                listOf(
                    "roster: no members yet",
                    "records: 1 workspace, 1 target, 1 version, 1 adapter, 0 key, 1 route",
                    "target engine-1 engine 127.0.0.1:9001 cairo-a plate-7b draining",
                    "instance 127.0.0.1:9: no answer",
                )
            operator.call("check", file("[route x]\nschemaVersion = 1\ntype = model\nworkspace = glass-cairo").toString()) shouldBe 1
            operator.err.single().substringAfter(": ") shouldBe "[route x] adapter: key is missing on a model route"
        }

        test("usage faults are one line and exit code 2, and help names the exit codes") {
            val operator = Operator()
            operator.call("get", "planet", "x") shouldBe 2
            operator.err.single() shouldContain "unknown kind 'planet'"
            operator.call("frobnicate") shouldBe 2
            operator.call("set", "target", "t", "slots", "--if-version", "1") shouldBe 2
            operator.call("get", "target") shouldBe 2
            operator.err.size shouldBe 1
            operator.call("--help") shouldBe 0
            operator.out.single() shouldContain "3 -> the platform or an instance gives no answer"
        }
    })
