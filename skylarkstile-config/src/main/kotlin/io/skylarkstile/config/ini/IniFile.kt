/*
 * Content of an INI file with the line number of each section and entry. Sections and keys may occur repeatedly here;
 * duplicates are reported by the validation.
 */
package io.skylarkstile.config.ini

import io.skylarkstile.config.Finding

/** Holds the sections of [file] in file order and the [findings] about its syntax. */
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
