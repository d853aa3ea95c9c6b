/*
 * Kinds of records and their schemas. Several schema versions of a kind can be read at the same time, so that instances of
 * different releases and records of different age work together.
 */
package io.skylarkstile.config.record

import io.skylarkstile.config.schema.ObjectSchema
import io.skylarkstile.config.schema.objectSchema

/**
 * Lists the kinds of records. [label] is the kind in the object API and in section headers. Records are written in this order:
 * a record follows those it refers to, and versions precede adapters so that no adapter activates a missing version.
 */
enum class RecordKind(
    val label: String,
    private val schemaNames: Map<Int, String>,
) {
    WORKSPACE("workspace", mapOf(1 to "WorkspaceRecordV1", 2 to "WorkspaceRecord")),
    TARGET("target", mapOf(1 to "TargetRecord")),
    VERSION("version", mapOf(1 to "VersionRecord")),
    ADAPTER("adapter", mapOf(1 to "AdapterRecord")),
    KEY("key", mapOf(1 to "KeyRecord")),
    ROUTE("route", mapOf(1 to "RouteRecord")),
    ;

    /** Schema versions that can be read, oldest first. */
    val schemaVersions: List<Int> get() = schemaNames.keys.sorted()

    /** Schema version of new records. */
    val currentSchemaVersion: Int get() = schemaNames.keys.max()

    /** Returns the schema of [schemaVersion]. */
    fun schemaOrNull(schemaVersion: Int): ObjectSchema? = schemaNames[schemaVersion]?.let(::objectSchema)

    companion object {
        /** Labels of all kinds, as the object API names them. */
        val labels: List<String> = entries.map { it.label }

        /** Returns the kind with [label]. */
        fun ofLabelOrNull(label: String): RecordKind? = entries.firstOrNull { it.label == label }
    }
}

/** Identifies a record. */
data class RecordId(
    val kind: RecordKind,
    val name: String,
) {
    override fun toString(): String = "${kind.label} $name"
}
