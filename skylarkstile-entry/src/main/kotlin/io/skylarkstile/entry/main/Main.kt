/*
 * Implements the command that runs one entry instance. It prints `ready <callerAddress>` to standard output when the instance is ready,
 * and shuts down gracefully on SIGTERM.
 */
package io.skylarkstile.entry.main

import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.KotlinLoggingConfiguration
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.Finding
import io.skylarkstile.config.command.endingProcess
import io.skylarkstile.config.command.parseOrEnd
import io.skylarkstile.config.log.configureLogging
import io.skylarkstile.config.log.event
import io.skylarkstile.config.settings.loadEntrySettings
import io.skylarkstile.schema.generated.EntrySettings
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import java.nio.file.Path
import kotlin.system.exitProcess

/** Created lazily, because [main] first has to disable the logging library's startup message. */
private val log by lazy { KotlinLogging.logger {} }

private const val PROGRAM = "skylarkstile-entry"

/** Exit code when the settings have errors. */
private const val EXIT_FINDINGS = 1

/** Exit code when the instance cannot start, for example because an address is in use. */
private const val EXIT_START_FAILED = 3

fun main(args: Array<String>) = endingProcess(PROGRAM) {
    KotlinLoggingConfiguration.logStartupMessage = false
    val parser = ArgParser(PROGRAM)
    val file by parser.option(ArgType.String, "settings", "s", "Settings file (INI)").required()
    val check by parser.option(ArgType.Boolean, "check", "c", "Check the settings, print every finding and exit with 0 or 1").default(false)
    parser.parseOrEnd(args)
    val settings = loadEntrySettings(Path.of(file)).getOrElse { exitWith(it) }
    if (!check) {
        configureLogging(settings.log)
        run(settings)
    }
}

private fun run(settings: EntrySettings) {
    val instance =
        try {
            runBlocking { startInstance(settings) }
        } catch (e: java.io.IOException) {
            System.err.println("$PROGRAM: ${settings.instance.name} could not start: ${e.message}")
            exitProcess(EXIT_START_FAILED)
        }
    Runtime.getRuntime().addShutdownHook(
        Thread {
            log.event(Level.INFO, "shutdown-begun") { "shutting down" }
            val allFinished = runBlocking { instance.shutDown() }
            log.event(
                Level.INFO,
                "shutdown-done",
                "whole" to allFinished,
            ) { if (allFinished) "all requests finished in time" else "requests or the release of resources did not finish in time" }
            Runtime.getRuntime().halt(0)
        },
    )
    runBlocking { instance.awaitReady() }
    println("ready ${instance.callerAddress}")
    System.out.flush()
    Thread.currentThread().join()
}

private fun exitWith(findings: List<Finding>): Nothing {
    findings.forEach { System.err.println(it) }
    exitProcess(EXIT_FINDINGS)
}
