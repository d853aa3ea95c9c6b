/*
 * Reads INI files with ini4j. ini4j neither reports the line number of an entry nor continues after a malformed line, so its
 * input comes from a reader that returns one line at a time, tracks the line number and replaces malformed headers.
 */
package io.skylarkstile.config.ini

import io.skylarkstile.config.Finding
import org.ini4j.Config
import org.ini4j.spi.IniHandler
import org.ini4j.spi.IniParser
import java.io.IOException
import java.io.Reader
import java.nio.charset.CharacterCodingException
import java.nio.file.Files
import java.nio.file.NoSuchFileException
import java.nio.file.Path

/** Maximum size of a file in bytes; 3,000 adapters with their versions take about 1 MB. */
private const val MAX_FILE_BYTES = 16L * 1024 * 1024

/** Section name that ini4j uses for entries before the first header. */
private const val NO_SECTION = "?"

/** Reads the file at [path]. An unreadable file is reported as a finding on line 0. */
fun readIni(path: Path): IniFile {
    val file = path.toString()
    return try {
        if (Files.size(path) >
            MAX_FILE_BYTES
        ) {
            unreadableFile(file, "is larger than $MAX_FILE_BYTES bytes")
        } else {
            parseIni(file, Files.readString(path))
        }
    } catch (_: NoSuchFileException) {
        unreadableFile(file, "no such file")
    } catch (_: CharacterCodingException) {
        unreadableFile(file, "is not UTF-8 text")
    } catch (e: IOException) {
        unreadableFile(file, "cannot be read: ${e.message}")
    }
}

/** Parses [text]; [file] is the file name for findings. */
fun parseIni(
    file: String,
    text: String,
): IniFile {
    val lines = LineReader(text)
    val collector = SectionCollector(file, lines)
    val config =
        Config().apply {
            isEmptyOption = true
            isGlobalSection = true
            globalSectionName = NO_SECTION
            isUnnamedSection = true
            isInclude = false
            isEscape = false
            isEscapeNewline = false
        }
    IniParser.newInstance(config).parse(lines, collector)
    return collector.result()
}

private fun unreadableFile(
    file: String,
    problem: String,
) = IniFile(file, emptyList(), listOf(Finding(file, null, null, 0, problem)))

/** Returns at most one line per read, so that [line] is the line being parsed. A malformed header is replaced by `[]`. */
private class LineReader(
    text: String,
) : Reader() {
    private val lines = text.removePrefix("\uFEFF").lines()
    private var remaining = ""
    var line = 0
        private set

    override fun read(
        buffer: CharArray,
        offset: Int,
        length: Int,
    ): Int {
        if (remaining.isEmpty()) {
            if (line == lines.size) return -1
            remaining = replaceMalformedHeader(lines[line++]) + "\n"
        }
        val count = minOf(length, remaining.length)
        remaining.toCharArray(buffer, offset, 0, count)
        remaining = remaining.substring(count)
        return count
    }

    override fun close() = Unit

    private fun replaceMalformedHeader(text: String): String {
        val trimmed = text.trim()
        return if (trimmed.startsWith("[") && (!trimmed.endsWith("]") || trimmed.length < 3)) "[]" else text
    }
}

private class SectionCollector(
    private val file: String,
    private val lines: LineReader,
) : IniHandler {
    private val sections = mutableListOf<IniSection>()
    private val findings = mutableListOf<Finding>()
    private var name: String? = null
    private var line = 0
    private var entries = mutableListOf<IniEntry>()

    override fun startIni() = Unit

    override fun endIni() = Unit

    override fun handleComment(comment: String?) = Unit

    override fun startSection(sectionName: String) {
        entries = mutableListOf()
        line = lines.line
        name = sectionName.trim()
        if (name.isNullOrEmpty()) findings += Finding(file, null, null, line, "malformed section header; expected [name]")
    }

    override fun endSection() {
        name?.takeIf { it.isNotEmpty() && it != NO_SECTION }?.let { sections += IniSection(it, line, entries) }
    }

    override fun handleOption(
        key: String,
        value: String?,
    ) {
        val at = lines.line
        when {
            value == null -> findings += finding(at, key.takeIf { it.length <= MAX_SHOWN_KEY }, "expected key = value")
            key.isEmpty() -> findings += finding(at, null, "key is missing before '='")
            name == NO_SECTION -> findings += finding(at, key, "entry before the first section")
            else -> entries += IniEntry(key.trim(), value.trim(), at)
        }
    }

    fun result() = IniFile(file, sections, findings)

    private fun finding(
        line: Int,
        key: String?,
        problem: String,
    ) = Finding(file, name?.takeIf { it.isNotEmpty() && it != NO_SECTION }, key, line, problem)

    private companion object {
        const val MAX_SHOWN_KEY = 60
    }
}
