/*
 * Entry point of the command-line tool `skylarkctl`.
 */
package io.skylarkstile.ctl.main

import io.skylarkstile.config.log.configureLogging
import io.skylarkstile.ctl.command.Console
import io.skylarkstile.ctl.command.ExitCode
import io.skylarkstile.schema.generated.LogSettings
import io.skylarkstile.transport.http.httpClient
import io.skylarkstile.transport.platform.objectStore
import kotlinx.coroutines.runBlocking
import kotlin.system.exitProcess

/** Connect timeout in milliseconds. */
private const val CONNECT_TIMEOUT_MS = 1_000L

/** Runs the command line and exits with the code of its [ExitCode]. */
fun main(args: Array<String>) {
    configureLogging(LogSettings(level = LogSettings.Level.Warn))
    val console = Console(::println, System.err::println)
    val client = httpClient(CONNECT_TIMEOUT_MS)
    val exit = runBlocking { run(args, console, client) { address, timeoutMs -> objectStore(address, client, timeoutMs) } }
    System.out.flush()
    exitProcess(exit.code)
}
