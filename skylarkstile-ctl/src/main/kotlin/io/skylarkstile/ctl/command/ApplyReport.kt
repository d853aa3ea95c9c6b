/*
 * Reports an apply run record by record and decides how it ends.
 */
package io.skylarkstile.ctl.command

import io.skylarkstile.ctl.store.WriteOutcome

internal class ApplyReport(
    private val console: Console,
) {
    private val counts = sortedMapOf<String, Int>()
    private var exit = ExitCode.OK

    /** Is true after the first record that could not be written. */
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

    fun finish(): ExitCode {
        console.out(counts.entries.joinToString { "${it.value} ${it.key}" }.ifEmpty { "no records" })
        if (stopped) console.err("not everything was written; the lines above name each record, and the same command completes it")
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

/** Names the version in force after a conflict. */
internal fun versionText(currentVersion: Long): String =
    if (currentVersion == 0L) "there is no record now" else "current version $currentVersion"
