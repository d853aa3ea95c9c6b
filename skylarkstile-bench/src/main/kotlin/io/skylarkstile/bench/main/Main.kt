/*
 * Main class of the load tool. `run` sends a seeded open-loop trace to a fleet that it starts or to a running site, `compare` prints the
 * ratios of two runs, `plot` writes the plots of a run, and `overhead` compares calls through an entry instance with direct calls.
 */
package io.skylarkstile.bench.main

import io.skylarkstile.config.command.endingProcess
import io.skylarkstile.config.command.parseOrEnd
import kotlinx.cli.ArgParser
import kotlin.system.exitProcess

fun main(args: Array<String>) = endingProcess("bench") {
    val commands = listOf(RunCommand(), CompareCommand(), PlotCommand(), OverheadCommand())
    try {
        ArgParser("bench").parseOrEnd(args.ifEmpty { arrayOf("--help") }, commands)
    } catch (e: IllegalStateException) {
        System.err.println("bench: ${e.message}")
        exitProcess(1)
    }
}
