/*
 * Findings: faults of files, each with its place. Every check adds to one list, so that a single run reports all of them.
 */
package io.skylarkstile.config

/**
 * Describes one fault at a place of a file. [line] counts from 1; [section] and [key] are absent where the fault has none.
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
