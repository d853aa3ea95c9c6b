/*
 * Runs every skylarkctl command of docs/operating in page order, with the records of examples/cairo in an in-memory store. Guards against
 * documented commands and examples that no longer work. Blocks marked `sh outage` run while the platform is unreachable.
 */
package io.skylarkstile.ctl

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.createTempDirectory
import kotlin.io.path.extension
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readText
import kotlin.io.path.writeText

private val root: Path = Path.of("..")
private val pages =
    listOf("first-start.md", "workspaces.md", "keys.md", "versions.md", "targets.md", "replacing.md", "platform-outage.md", "state-dump.md")
private val block = Regex("```(ini|sh|sh outage)\n(.*?)```", RegexOption.DOT_MATCHES_ALL)

class OperatingPagesSpec :
    FunSpec({
        val folder = createTempDirectory("pages")
        afterSpec { folder.toFile().deleteRecursively() }

        fun files(argument: String): List<String> = when {
            argument.endsWith("*.ini") ->
                root
                    .resolve(argument.removeSuffix("*.ini"))
                    .listDirectoryEntries("*.ini")
                    .sorted()
                    .map { "$it" }
            argument.endsWith(".ini") -> listOf("${folder.resolve(argument)}")
            else -> listOf(argument)
        }

        test("every command of the operating pages ends with 0, or with 3 where a page shows an outage") {
            val runner = CommandRunner(http = ReadyInstances)
            var commands = 0
            runner.call("apply", *files("examples/cairo/records/*.ini").toTypedArray()) shouldBe 0
            runner.call("create-key", "glass-1", "--workspace", "glass-cairo") shouldBe 0
            for (page in pages) {
                for (match in block.findAll(root.resolve("docs/operating/$page").readText())) {
                    val lines = match.groupValues[2].lines().map { it.trim() }
                    if (match.groupValues[1] == "ini") {
                        folder.resolve(lines.first().removePrefix("; file: ")).writeText(lines.joinToString("\n"))
                    } else {
                        for (line in lines.filter { it.startsWith("bin/skylarkctl ") }) {
                            runner.store.down = match.groupValues[1] == "sh outage"
                            val exit = runner.runArguments(line.split(' ').drop(1).flatMap(::files))
                            withClue("$page: $line: ${runner.err}") { exit shouldBe if (runner.store.down) 3 else 0 }
                            commands++
                        }
                    }
                }
            }
            commands shouldBeGreaterThan 15
        }

        test("all files of both examples are valid") {
            for (site in listOf("cairo", "perth")) {
                val all = Files.walk(root.resolve("examples/$site")).use { walk -> walk.filter { it.extension == "ini" }.toList() }
                withClue(all.map { it.name }) { all.size shouldBe 10 }
                CommandRunner().call("check", *all.map { "$it" }.toTypedArray()) shouldBe 0
            }
        }
    })
