/*
 * Findings: problems in files, each with its location. All checks add to one list, so that a single run reports all problems.
 */
package io.skylarkstile.config

/**
 * Describes one problem in a file. [line] counts from 1 and is 0 for an unreadable file; [section] and [key] are `null` if not applicable.
 * A key's secret or hash never appears in [problem].
 */
data class Finding(
    val file: String,
    val section: String?,
    val key: String?,
    val line: Int,
    val problem: String,
) {
    /** Renders the finding as `file:line: [section] key: problem`. */
    override fun toString(): String = buildString {
        append(file).append(':').append(line).append(": ")
        section?.let { append('[').append(it).append("] ") }
        key?.let { append(it).append(": ") }
        append(problem)
    }
}
