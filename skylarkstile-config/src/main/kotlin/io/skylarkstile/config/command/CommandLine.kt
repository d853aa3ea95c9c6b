/*
 * How the command line of every binary ends: usage errors in one line on standard error with [EXIT_USAGE], help on standard output with 0.
 */
package io.skylarkstile.config.command

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlin.system.exitProcess

/** Exit code of a usage error. */
const val EXIT_USAGE = 2

/** Ends parsing: with the help text when [isHelp], or with a usage error. */
class CommandLineEnd(
    override val message: String,
    val isHelp: Boolean,
) : Exception(message)

/** Ends a command line because of wrong arguments. */
fun usageError(problem: String): Nothing = throw CommandLineEnd(problem, isHelp = false)

/**
 * Parses [args] and runs the chosen one of [commands], or throws [CommandLineEnd]. The help text lists the options of all [commands] and
 * ends with [footer].
 */
@OptIn(ExperimentalCli::class)
fun ArgParser.parseOrEnd(
    args: Array<String>,
    commands: List<Subcommand> = emptyList(),
    footer: String = "",
) {
    onEnd { message, code -> end(message, code) { (listOf(it) + commands.map(::help) + footer).filter(String::isNotBlank) } }
    subcommands(*commands.toTypedArray())
    commands.forEach { command -> command.onEnd { message, code -> end(message, code) { listOf(it, footer).filter(String::isNotBlank) } } }
    parse(args)
}

/** Runs [block]; a [CommandLineEnd] is printed and ends the process of [program]. */
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

private fun end(
    message: String,
    code: Int,
    help: (String) -> List<String>,
): Nothing {
    if (code == 0) throw CommandLineEnd(help(message).joinToString("\n") { it.trimEnd() + "\n" }.trimEnd(), isHelp = true)
    // The first line is the fault; the rest repeats the whole usage.
    usageError(message.lineSequence().first())
}

/** A command declares its options to kotlinx-cli only while it parses, so its help text is taken from a parse of `--help`. */
@OptIn(ExperimentalCli::class)
private fun help(command: Subcommand): String {
    command.onEnd { message, _ -> throw CommandLineEnd(message, isHelp = true) }
    return try {
        command.parse(arrayOf("--help"))
        ""
    } catch (e: CommandLineEnd) {
        e.message
    }
}

/**
 * Makes the parser call [end] instead of printing to standard output and ending the process with 127. kotlinx-cli 0.3.6 has this hook but
 * does not publish it, and offers no other way to choose the exit code.
 */
private fun ArgParser.onEnd(end: (String, Int) -> Nothing) {
    ArgParser::class.java.getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java).invoke(this, end)
}
