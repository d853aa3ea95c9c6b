/*
 * The content of an INI file with the line of each section and entry. Sections and keys may repeat here; whether that is
 * a fault is decided where the file is validated.
 */
package io.skylarkstile.config.ini

import io.skylarkstile.config.Finding

/** Holds the sections of [file] in file order and the [findings] of its syntax. */
data class IniFile(
    val file: String,
    val sections: List<IniSection>,
    val findings: List<Finding>,
)

/** Holds one section; [line] is the line of its header. */
data class IniSection(
    val name: String,
    val line: Int,
    val entries: List<IniEntry>,
)

/** Holds one `key = value` line. */
data class IniEntry(
    val key: String,
    val value: String,
    val line: Int,
)
