/*
 * Tests that all problems of a settings file are reported at once with their locations, and that a valid file is read completely.
 */
package io.skylarkstile.config

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.skylarkstile.config.ini.parseIni
import io.skylarkstile.config.settings.checkEntrySettings
import io.skylarkstile.config.settings.loadEntrySettings
import io.skylarkstile.config.settings.seedList
import io.skylarkstile.schema.generated.LogSettings
import java.nio.file.Path

private val good =
    """
    ; an instance
    [instance]
    name = entry-1
    dataCentre = cairo-a
    callerAddress = 127.0.0.1:8001
    peerAddress = 127.0.0.1:8101
    adminAddress = 127.0.0.1:8201

    [platform]
    address = 127.0.0.1:7000

    [cluster]
    name = cairo
    seeds = 127.0.0.1:8102, 127.0.0.1:8103

    [load]
    loadsPerSecond = 2.5

    [log]
    format = json
    """.trimIndent()

class EntrySettingsSpec :
    FunSpec({
        fun findings(text: String): List<String> = checkEntrySettings(parseIni("e.ini", text)).getError().orEmpty().map { it.toString() }

        test("a valid file is read, with defaults for absent keys") {
            val settings = checkEntrySettings(parseIni("e.ini", good)).get()!!
            settings.instance.peerAddress shouldBe "127.0.0.1:8101"
            settings.cluster.seedList() shouldBe listOf("127.0.0.1:8102", "127.0.0.1:8103")
            settings.cluster.leaseMs shouldBe 3000
            settings.load.loadsPerSecond shouldBe 2.5
            settings.log.format shouldBe LogSettings.Format.Json
        }

        test("all problems are reported at once in file order, each with its location") {
            val text =
                """
                stray = 1
                [instance]
                name = Entry_1
                dataCentre = a
                dataCentre = b
                callerAddress = host:80
                peerAddress = 127.0.0.1:70000
                [platform
                [platform]
                address = 127.0.0.1:0
                timeoutMs = 5
                TimeoutMs = 5
                watchMs = soon
                nothing
                [log]
                level = loud
                [log]
                [extra]
                """.trimIndent()
            findings(text) shouldContainExactly
                listOf(
                    "e.ini:1: stray: entry before the first section",
                    "e.ini:2: [instance] adminAddress: key is missing",
                    "e.ini:3: [instance] name: 'Entry_1' does not match ^[a-z0-9][a-z0-9-]{0,62}${'$'}",
                    "e.ini:5: [instance] dataCentre: duplicate key; first on line 4",
                    "e.ini:6: [instance] callerAddress: expected ip:port, found 'host:80'",
                    "e.ini:7: [instance] peerAddress: expected ip:port, found '127.0.0.1:70000'",
                    "e.ini:8: malformed section header; expected [name]",
                    "e.ini:10: [platform] address: expected ip:port, found '127.0.0.1:0'",
                    "e.ini:11: [platform] timeoutMs: 5 is below the minimum 10",
                    "e.ini:12: [platform] TimeoutMs: unknown key; did you mean timeoutMs?",
                    "e.ini:13: [platform] watchMs: expected a whole number, found 'soon'",
                    "e.ini:14: [platform] nothing: expected key = value",
                    "e.ini:16: [log] level: expected one of error, warn, info, debug, found 'loud'",
                    "e.ini:17: [log] duplicate section; first on line 15",
                    "e.ini:18: [extra] unknown section",
                    "e.ini:18: [cluster] section is missing (keys name)",
                )
        }

        test("constraints between keys are checked, so that a lease cannot expire between two heartbeats") {
            val text =
                good
                    .replace(
                        "seeds = ",
                        "seeds = x, ",
                    ).replace("name = cairo\n", "name = cairo\nleaseMs = 600\nsendMarginMs = 600\n")
            findings(text) shouldContainExactly
                listOf(
                    "e.ini:14: [cluster] leaseMs: must be at least 3 x heartbeatMs (500)",
                    "e.ini:15: [cluster] sendMarginMs: must be below leaseMs (600)",
                    "e.ini:16: [cluster] seeds: expected ip:port, found 'x'",
                )
        }

        test("a missing file is one finding, not an exception") {
            loadEntrySettings(Path.of("no-such.ini")).getError()!!.map { it.toString() } shouldBe listOf("no-such.ini:0: no such file")
        }
    })
