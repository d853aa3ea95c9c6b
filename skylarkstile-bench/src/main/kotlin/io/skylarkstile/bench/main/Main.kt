/*
 * The load tool: `run` sends a seeded trace in open loop to a fleet that it starts or to a running site, `compare` prints ratios of two runs, `plot` writes their plots,
 * `overhead` compares calls through an entry instance with direct ones.
 */
package io.skylarkstile.bench.main

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlin.system.exitProcess

@OptIn(ExperimentalCli::class)
fun main(args: Array<String>) {
    val parser = ArgParser("bench")
    addCommands(parser, RunCommand(), CompareCommand(), PlotCommand(), OverheadCommand())
    try {
        parser.parse(args.ifEmpty { arrayOf("--help") })
    } catch (e: IllegalStateException) {
        System.err.println("bench: ${e.message}")
        exitProcess(1)
    }
}
