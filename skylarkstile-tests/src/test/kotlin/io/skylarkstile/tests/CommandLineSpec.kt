/*
 * Runs the command line of every binary as a process. Guards against usage errors that are printed on standard output or end with another
 * exit code, which scripts would misread, and against options that are missing in the help text.
 */
package io.skylarkstile.tests

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import java.io.File
import java.nio.file.Files

private data class Binary(
    val program: String,
    val module: String,
    val invalidArguments: List<List<String>>,
)

private data class ProcessResult(
    val code: Int,
    val out: String,
    val err: List<String>,
)

private val binaries =
    listOf(
        Binary("skylarkstile-entry", "entry", listOf(listOf(), listOf("--settings"), listOf("--settings", "x", "--nonsense", "1"))),
        Binary(
            "skylarkctl",
            "ctl",
            listOf(listOf("--nonsense", "1"), listOf("list", "key"), listOf("-p", "127.0.0.1:1", "list", "planet")),
        ),
        Binary(
            "skylarkstile-standin",
            "standin",
            listOf(listOf("planet"), listOf("engine", "--slots", "x"), listOf("engine", "--fencing", "x")),
        ),
        Binary("bench", "bench", listOf(listOf("planet"), listOf("run"), listOf("compare", "/nonexistent", "/nonexistent"))),
    )

private val optionDeclaration = Regex("""option\(\s*ArgType\.[^"]*?"([a-z-]+)"""")

private fun Binary.options(): List<String> = File("../skylarkstile-$module/src/main/kotlin/io/skylarkstile/$module/main")
    .listFiles { file -> file.extension == "kt" }
    .orEmpty()
    .flatMap { file -> optionDeclaration.findAll(file.readText()).map { it.groupValues[1] } }
    .distinct()

private fun Binary.run(arguments: List<String>): ProcessResult {
    val out = Files.createTempFile("command-line", ".out").toFile()
    val err = Files.createTempFile("command-line", ".err").toFile()
    val java = File(System.getProperty("java.home"), "bin/java").path
    val command = listOf(java, "-Xmx64m", "-cp", System.getProperty("java.class.path"), "io.skylarkstile.$module.main.MainKt") + arguments
    try {
        val code =
            ProcessBuilder(command)
                .redirectOutput(out)
                .redirectError(err)
                .start()
                .waitFor()
        return ProcessResult(code, out.readText(), err.readLines())
    } finally {
        out.delete()
        err.delete()
    }
}

class CommandLineSpec :
    FunSpec({
        for (binary in binaries) {
            test("${binary.program} reports a usage error in one line on standard error with code 2") {
                for (arguments in binary.invalidArguments) {
                    val result = binary.run(arguments)
                    withClue("$arguments: $result") {
                        result.code shouldBe 2
                        result.out shouldBe ""
                        result.err.single() shouldStartWith "${binary.program}: "
                    }
                }
            }

            test("${binary.program} --help names every option on standard output with code 0") {
                val result = binary.run(listOf("--help"))
                withClue(result) {
                    result.code shouldBe 0
                    result.err shouldBe emptyList()
                    val documented = Regex("--([a-z-]+)").findAll(result.out).map { it.groupValues[1] }.toSet()
                    binary.options().shouldNotBeEmpty().forEach { it shouldBeIn documented }
                }
            }
        }
    })
