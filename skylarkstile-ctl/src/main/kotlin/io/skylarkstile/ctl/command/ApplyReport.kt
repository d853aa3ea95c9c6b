/*
 * Prints the result of an apply run for each record and determines the exit code.
 */
package io.skylarkstile.ctl.command

import io.skylarkstile.ctl.store.WriteOutcome

/** Prints one line per record and counts the records by result. */
internal class ApplyReport(
    private val console: Console,
) {
    private val counts = sortedMapOf<String, Int>()
    private var exit = ExitCode.OK

    /** Whether a record could not be written. */
    val stopped: Boolean get() = exit != ExitCode.OK

    fun unchanged(
        record: String,
        version: Long,
    ) = line("unchanged", "$record: unchanged (version $version)")

    fun notReached(record: String) = line("not written", "$record: not written")

    fun outcome(
        record: String,
        isNew: Boolean,
        outcome: WriteOutcome,
    ) = when (outcome) {
        is WriteOutcome.Written -> {
            val verb = if (isNew) "created" else "updated"
            line(verb, "$record: $verb (version ${outcome.version})")
        }

        is WriteOutcome.Conflict -> {
            exit = ExitCode.REFUSED
            line("conflict", "$record: conflict, not written; ${versionText(outcome.currentVersion)}")
        }

        is WriteOutcome.NotWritten -> {
            exit = ExitCode.UNAVAILABLE
            line("not written", "$record: not written; ${outcome.reason}")
        }

        is WriteOutcome.Unknown -> {
            exit = ExitCode.UNAVAILABLE
            line("unknown", "$record: unknown whether written; ${outcome.reason}")
        }
    }

    /** Prints the counts and returns the exit code. */
    fun finish(): ExitCode {
        console.out(counts.entries.joinToString { "${it.value} ${it.key}" }.ifEmpty { "no records" })
        if (stopped) console.err("some records were not written, see above; run the same command again to write them")
        return exit
    }

    private fun line(
        group: String,
        text: String,
    ) {
        counts.merge(group, 1, Int::plus)
        console.out(text)
    }
}

/** Describes the current version of a record for a conflict message; 0 means that the record does not exist. */
internal fun versionText(currentVersion: Long): String =
    if (currentVersion == 0L) "there is no record now" else "current version $currentVersion"
