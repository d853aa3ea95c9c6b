/*
 * Commands of `skylarkctl` and their exit codes.
 */
package io.skylarkstile.ctl.command

import io.skylarkstile.config.command.EXIT_USAGE
import io.skylarkstile.config.record.RecordId
import io.skylarkstile.config.record.RecordKind
import java.nio.file.Path

/** Defines the exit codes of the process. Scripts rely on these numbers. */
enum class ExitCode(
    val code: Int,
    val meaning: String,
) {
    OK(0, "done"),
    REFUSED(1, "validation findings or a conflict; the output lists what was written"),
    USAGE(EXIT_USAGE, "wrong usage"),
    UNAVAILABLE(3, "the platform or an instance gives no answer"),
}

/** Represents a parsed command with its arguments. */
internal sealed interface Command {
    data class Apply(
        val files: List<Path>,
    ) : Command

    data class Check(
        val files: List<Path>,
    ) : Command

    data class Get(
        val id: RecordId,
    ) : Command

    data class ListKind(
        val kind: RecordKind,
    ) : Command

    data class Explain(
        val id: RecordId,
    ) : Command

    /** Changes [values] of a record; an empty value removes an optional key. */
    data class Change(
        val id: RecordId,
        val values: List<Pair<String, String>>,
        val ifVersion: Long? = null,
    ) : Command

    data class Remove(
        val id: RecordId,
        val ifVersion: Long? = null,
    ) : Command

    data class CreateKey(
        val name: String,
        val workspace: String,
    ) : Command

    data class Status(
        val adminAddresses: List<String>,
    ) : Command
}

/** Receives output lines: results go to [out], errors to [err]. */
internal class Console(
    val out: (String) -> Unit,
    val err: (String) -> Unit,
)
