/*
 * Command line handling of every binary: a usage error is one line on standard error with [EXIT_USAGE], help goes to standard output.
 */
package io.skylarkstile.config.command

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlin.system.exitProcess

/** Exit status of a usage error. */
const val EXIT_USAGE = 2

/** Ends command line parsing, with the help text if [isHelp] is set, otherwise with a usage error. */
class CommandLineEnd(
    override val message: String,
    val isHelp: Boolean,
) : Exception(message)

/** Reports invalid arguments by throwing [CommandLineEnd]. */
fun usageError(problem: String): Nothing = throw CommandLineEnd(problem, isHelp = false)

/**
 * Parses [args] and runs the selected one of [commands], or throws [CommandLineEnd]. The help text lists the options of all [commands]
 * and ends with [footer].
 */
@OptIn(ExperimentalCli::class)
fun ArgParser.parseOrEnd(
    args: Array<String>,
    commands: List<Subcommand> = emptyList(),
    footer: String = "",
) {
    onExit { message, code -> finish(message, code) { (listOf(it) + commands.map(::helpOf) + footer).filter(String::isNotBlank) } }
    subcommands(*commands.toTypedArray())
    commands.forEach { command ->
        command.onExit { message, code -> finish(message, code) { listOf(it, footer).filter(String::isNotBlank) } }
    }
    parse(args)
}

/** Runs [block]; a [CommandLineEnd] is printed and exits the process of [program]. */
fun endingProcess(
    program: String,
    block: () -> Unit,
) {
    try {
        block()
    } catch (e: CommandLineEnd) {
        if (e.isHelp) println(e.message) else System.err.println("$program: ${e.message}")
        System.out.flush()
        exitProcess(if (e.isHelp) 0 else EXIT_USAGE)
    }
}

private fun finish(
    message: String,
    code: Int,
    helpOf: (String) -> List<String>,
): Nothing {
    if (code == 0) throw CommandLineEnd(helpOf(message).joinToString("\n") { it.trimEnd() + "\n" }.trimEnd(), isHelp = true)
    // The first line is the error; the rest repeats the full usage text.
    usageError(message.lineSequence().first())
}

/** Returns the help text of [command]. kotlinx-cli registers its options only while parsing, so `--help` is parsed to get the text. */
@OptIn(ExperimentalCli::class)
private fun helpOf(command: Subcommand): String {
    command.onExit { message, _ -> throw CommandLineEnd(message, isHelp = true) }
    return try {
        command.parse(arrayOf("--help"))
        ""
    } catch (e: CommandLineEnd) {
        e.message
    }
}

/**
 * Makes the parser call [finish] instead of printing to standard output and exiting with 127. In kotlinx-cli 0.3.6 this hook is
 * internal, hence the reflection; there is no other way to choose the exit status.
 */
private fun ArgParser.onExit(finish: (String, Int) -> Nothing) {
    ArgParser::class.java.getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java).invoke(this, finish)
}
