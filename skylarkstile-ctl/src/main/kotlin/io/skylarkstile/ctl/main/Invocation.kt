/*
 * Parses the `skylarkctl` command line with kotlinx-cli.
 */
package io.skylarkstile.ctl.main

import io.skylarkstile.config.command.CommandLineEnd
import io.skylarkstile.config.command.parseOrEnd
import io.skylarkstile.config.command.usageError
import io.skylarkstile.config.record.RecordId
import io.skylarkstile.config.record.RecordKind
import io.skylarkstile.config.record.isRecordName
import io.skylarkstile.config.schema.isAddress
import io.skylarkstile.config.schema.isName
import io.skylarkstile.ctl.command.Command
import io.skylarkstile.ctl.command.ExitCode
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.multiple
import kotlinx.cli.required
import kotlinx.cli.vararg
import java.nio.file.Path

/** Holds a parsed command line; [platform] is `null` only if `check` is run without `--platform`. */
internal class Invocation(
    val platform: String?,
    val timeoutMs: Long,
    val command: Command,
)

/**
 * Parses [args]; no arguments print the help.
 *
 * @throws CommandLineEnd on a usage error or a request for help
 */
internal fun parseCommandLine(args: Array<String>): Invocation {
    val parser = ArgParser("skylarkctl")
    val platform by parser.option(ArgType.String, "platform", "p", "Address of the object API, ip:port")
    val timeoutMs by parser.option(ArgType.Int, "timeout-ms", description = "Time limit of one call in milliseconds (default 3000)")
    val subcommands = subcommands()
    parser.parseOrEnd(if (args.isEmpty()) arrayOf("--help") else args, subcommands, exitCodes())
    val command = subcommands.firstNotNullOfOrNull { it.parsedCommand } ?: usageError("no command; see --help")
    val address = platform
    if (address == null && command !is Command.Check) usageError("option --platform ip:port is missing")
    if (address != null && !isAddress(address)) usageError("--platform: expected ip:port, found '$address'")
    return Invocation(address, (timeoutMs ?: DEFAULT_TIMEOUT_MS).toLong(), command)
}

private const val DEFAULT_TIMEOUT_MS = 3_000

private fun exitCodes(): String = "Exit codes: \n" + ExitCode.entries.joinToString("\n") { "    ${it.code} -> ${it.meaning}" }

/** Parses the arguments of one subcommand; the command is `null` unless the subcommand was given. */
@OptIn(ExperimentalCli::class)
private abstract class SubcommandParser(
    name: String,
    description: String,
) : Subcommand(name, description) {
    var parsedCommand: Command? = null
        private set

    abstract fun command(): Command

    override fun execute() {
        parsedCommand = command()
    }
}

private fun subcommands(): List<SubcommandParser> = listOf(
    FilesParser("apply", "Validate record files and write them; nothing is written if validation finds a problem", Command::Apply),
    FilesParser(
        "check",
        "Validate settings and record files without writing; with --platform also against the current records",
        Command::Check,
    ),
    RecordParser("get", "Print the stored form of a record") { id, _ -> Command.Get(id) },
    ListParser(),
    SetParser(),
    WithdrawParser(),
    CreateKeyParser(),
    DrainParser(),
    RecordParser("remove", "Remove a record unless another record depends on it") { id, version -> Command.Remove(id, version) },
    RecordParser(
        "explain",
        "Print a record with default values, its dependencies, its dependents and its problems",
    ) { id, _ -> Command.Explain(id) },
    StatusParser(),
)

private class FilesParser(
    name: String,
    description: String,
    private val create: (List<Path>) -> Command,
) : SubcommandParser(name, description) {
    private val files by argument(ArgType.String, "files", "INI files").vararg()

    override fun command() = create(files.map { Path.of(it) })
}

private class RecordParser(
    name: String,
    description: String,
    private val create: (RecordId, Long?) -> Command,
) : SubcommandParser(name, description) {
    private val kind by argument(ArgType.String, "kind", kindHelp())
    private val record by argument(ArgType.String, "name", "Name of the record; adapter@version for a version")
    private val ifVersion by option(ArgType.String, "if-version", description = "Only if the record is at this version")

    override fun command() = create(recordId(kind, record), versionOrNull(ifVersion))
}

private class ListParser : SubcommandParser("list", "Print all records of a kind") {
    private val kind by argument(ArgType.String, "kind", kindHelp())

    override fun command() = Command.ListKind(kindOf(kind))
}

private class SetParser : SubcommandParser("set", "Change keys of a record, e.g. set workspace a weight=2 (key= removes an optional key)") {
    private val kind by argument(ArgType.String, "kind", kindHelp())
    private val record by argument(ArgType.String, "name", "Name of the record; adapter@version for a version")
    private val values by argument(ArgType.String, "key=value", "Keys and their new values").vararg()
    private val ifVersion by option(ArgType.String, "if-version", description = "Only if the record is at this version")

    override fun command() = Command.Change(recordId(kind, record), values.map(::parseKeyValue), versionOrNull(ifVersion))

    private fun parseKeyValue(text: String): Pair<String, String> {
        if ('=' !in text) usageError("expected key=value, found '$text'")
        return text.substringBefore('=').trim() to text.substringAfter('=').trim()
    }
}

private class WithdrawParser :
    SubcommandParser("withdraw", "Withdraw a key or a version; running requests of a withdrawn key are ended") {
    private val kind by argument(ArgType.Choice(listOf("key", "version"), { it }), "kind", "key or version")
    private val record by argument(ArgType.String, "name", "Name of the key, or adapter@version")

    override fun command() = Command.Change(recordId(kind, record), listOf("withdrawn" to "true"))
}

private class CreateKeyParser : SubcommandParser("create-key", "Create a key and print it once") {
    private val record by argument(ArgType.String, "name", "Name of the key")
    private val workspace by option(ArgType.String, "workspace", "w", "Workspace of the key").required()

    override fun command() = Command.CreateKey(recordId(RecordKind.KEY.label, record).name, workspaceName())

    private fun workspaceName() = workspace.takeIf(::isName) ?: usageError("workspace '$workspace' is not a valid name")
}

private class DrainParser : SubcommandParser("drain", "Stop sending new requests to a target") {
    private val kind by argument(ArgType.Choice(listOf("target"), { it }), "target", "Must be target")
    private val record by argument(ArgType.String, "name", "Name of the target")

    override fun command() = Command.Change(recordId(kind, record), listOf("draining" to "true"))
}

private class StatusParser :
    SubcommandParser("status", "Print the roster, the number of records by kind, the targets, and the state of the given instances") {
    private val instances by option(ArgType.String, "instance", "i", "Admin address of an instance, ip:port").multiple()

    override fun command() =
        Command.Status(instances.onEach { if (!isAddress(it)) usageError("--instance: expected ip:port, found '$it'") })
}

private fun kindHelp() = "One of ${RecordKind.labels.joinToString()}"

private fun kindOf(label: String): RecordKind =
    RecordKind.ofLabelOrNull(label) ?: usageError("unknown kind '$label'; ${kindHelp().lowercase()}")

private fun recordId(
    kind: String,
    name: String,
): RecordId {
    val id = RecordId(kindOf(kind), name)
    if (!isRecordName(id.kind, name)) usageError("'$name' is not a valid name of a $kind")
    return id
}

private fun versionOrNull(text: String?): Long? = text?.let {
    it.toLongOrNull()
        ?: usageError("--if-version: expected a number, found '$it'")
}
