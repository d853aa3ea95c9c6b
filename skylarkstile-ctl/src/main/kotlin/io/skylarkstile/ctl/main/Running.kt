/*
 * Runs one command line against a store. The process and the tests enter here.
 */
package io.skylarkstile.ctl.main

import io.skylarkstile.config.command.CommandLineEnd
import io.skylarkstile.ctl.command.Applying
import io.skylarkstile.ctl.command.Changing
import io.skylarkstile.ctl.command.Command
import io.skylarkstile.ctl.command.Console
import io.skylarkstile.ctl.command.ExitCode
import io.skylarkstile.ctl.command.Showing
import io.skylarkstile.ctl.command.Status
import io.skylarkstile.ctl.command.checkFiles
import io.skylarkstile.ctl.store.RecordStore
import io.skylarkstile.transport.http.HttpClient
import io.skylarkstile.transport.platform.ObjectStore

/** Runs [args]; [openStore] creates the store of an address with a time limit in milliseconds. */
internal suspend fun run(
    args: Array<String>,
    console: Console,
    http: HttpClient,
    openStore: (String, Long) -> ObjectStore,
): ExitCode {
    val invocation =
        try {
            parseCommandLine(args)
        } catch (e: CommandLineEnd) {
            if (e.isHelp) console.out(e.message) else console.err("skylarkctl: ${e.message}")
            return if (e.isHelp) ExitCode.OK else ExitCode.USAGE
        }
    val records = invocation.platform?.let { RecordStore(openStore(it, invocation.timeoutMs)) }
    val command = invocation.command
    if (command is Command.Check) return checkFiles(command.files, records, console)
    return run(command, checkNotNull(records), console, http)
}

private suspend fun run(
    command: Command,
    records: RecordStore,
    console: Console,
    http: HttpClient,
): ExitCode = when (command) {
    is Command.Apply -> Applying(records, console).apply(command.files)
    is Command.Check -> checkFiles(command.files, records, console)
    is Command.Get -> Showing(records, console).get(command.id)
    is Command.ListKind -> Showing(records, console).list(command.kind)
    is Command.Explain -> Showing(records, console).explain(command.id)
    is Command.Change -> Changing(records, console).change(command)
    is Command.Remove -> Changing(records, console).remove(command)
    is Command.CreateKey -> Changing(records, console).createKey(command)
    is Command.Status -> Status(records, http, console).show(command.adminAddresses)
}
