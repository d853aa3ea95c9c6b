/*
 * Runs one command line against an object store. Called by the main function and by tests.
 */
package io.skylarkstile.ctl.main

import io.skylarkstile.config.command.CommandLineEnd
import io.skylarkstile.ctl.command.Command
import io.skylarkstile.ctl.command.Console
import io.skylarkstile.ctl.command.ExitCode
import io.skylarkstile.ctl.command.RecordApplier
import io.skylarkstile.ctl.command.RecordEditor
import io.skylarkstile.ctl.command.RecordPrinter
import io.skylarkstile.ctl.command.Status
import io.skylarkstile.ctl.command.checkFiles
import io.skylarkstile.ctl.store.RecordStore
import io.skylarkstile.transport.http.HttpClient
import io.skylarkstile.transport.platform.ObjectStore

/** Parses and runs [args]. [openStore] creates the store client for an address and a time limit in milliseconds. */
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
    is Command.Apply -> RecordApplier(records, console).apply(command.files)
    is Command.Check -> checkFiles(command.files, records, console)
    is Command.Get -> RecordPrinter(records, console).get(command.id)
    is Command.ListKind -> RecordPrinter(records, console).list(command.kind)
    is Command.Explain -> RecordPrinter(records, console).explain(command.id)
    is Command.Change -> RecordEditor(records, console).change(command)
    is Command.Remove -> RecordEditor(records, console).remove(command)
    is Command.CreateKey -> RecordEditor(records, console).createKey(command)
    is Command.Status -> Status(records, http, console).show(command.adminAddresses)
}
