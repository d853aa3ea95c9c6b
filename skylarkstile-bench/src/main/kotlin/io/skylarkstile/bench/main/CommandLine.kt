/*
 * Wrong command lines end with exit code 2 and one line on standard error.
 */
package io.skylarkstile.bench.main

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlin.system.exitProcess

private const val EXIT_USAGE = 2

/** Ends the process because of wrong arguments. */
internal fun usage(text: String): Nothing {
    System.err.println("bench: $text")
    exitProcess(EXIT_USAGE)
}

/** Adds [commands] to [parser] and makes all of them report faults through [usage]. */
@OptIn(ExperimentalCli::class)
internal fun addCommands(
    parser: ArgParser,
    vararg commands: Subcommand,
) {
    endByUsage(parser)
    parser.subcommands(*commands)
    commands.forEach(::endByUsage)
}

/**
 * Replaces the end of [parser], which prints to standard output and exits with 127. kotlinx-cli 0.3.6 has this hook but does not publish it,
 * and offers no other way to choose the exit code.
 */
private fun endByUsage(parser: ArgParser) {
    val end: (String, Int) -> Nothing = { message, code ->
        if (code != 0) usage(message.lineSequence().first())
        println(message)
        exitProcess(0)
    }
    ArgParser::class.java.getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java).invoke(parser, end)
}
