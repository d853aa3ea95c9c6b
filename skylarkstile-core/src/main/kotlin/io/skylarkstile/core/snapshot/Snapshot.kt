/*
 * An immutable view of the configuration at one revision, on which all decisions are based.
 */
package io.skylarkstile.core.snapshot

import io.skylarkstile.schema.generated.AdapterRecord
import io.skylarkstile.schema.generated.KeyRecord
import io.skylarkstile.schema.generated.RouteRecord
import io.skylarkstile.schema.generated.TargetRecord
import io.skylarkstile.schema.generated.VersionRecord
import io.skylarkstile.schema.generated.WorkspaceRecord

/** Holds all records up to [revision], by name. [leavingTargets] are the targets that the platform's instance list shows as leaving. */
data class Snapshot(
    val revision: Long = 0,
    val workspaces: Map<String, WorkspaceRecord> = emptyMap(),
    val keys: Map<String, KeyRecord> = emptyMap(),
    val adapters: Map<String, AdapterRecord> = emptyMap(),
    val versions: Map<String, VersionRecord> = emptyMap(),
    val routes: Map<String, RouteRecord> = emptyMap(),
    val targets: Map<String, TargetRecord> = emptyMap(),
    val leavingTargets: Set<String> = emptySet(),
)

/** Provides the newest known [Snapshot]. */
interface SnapshotSource {
    fun current(): Snapshot

    /** Calls [listener] after each change, on an unspecified thread. */
    fun onChange(listener: (Snapshot) -> Unit)
}
