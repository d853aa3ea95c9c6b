/*
 * The load tool: `run` sends a seeded trace to a running site in open loop, `compare` prints ratios of two runs, `plot` writes their plots,
 * `overhead` compares calls through an entry instance with direct ones.
 */
package io.skylarkstile.bench.main

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlin.system.exitProcess

private const val EXIT_USAGE = 2

@OptIn(ExperimentalCli::class)
fun main(args: Array<String>) {
    val parser = ArgParser("bench")
    parser.subcommands(RunCommand(), CompareCommand(), PlotCommand(), OverheadCommand())
    try {
        parser.parse(args.ifEmpty { arrayOf("--help") })
    } catch (e: IllegalStateException) {
        System.err.println("bench: ${e.message}")
        exitProcess(1)
    }
}

/** Ends the process because of wrong arguments. */
internal fun usage(text: String): Nothing {
    System.err.println("bench: $text")
    exitProcess(EXIT_USAGE)
}
