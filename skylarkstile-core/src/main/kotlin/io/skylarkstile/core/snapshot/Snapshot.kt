/*
 * The configuration of one revision, as every decision sees it.
 */
package io.skylarkstile.core.snapshot

import io.skylarkstile.schema.generated.AdapterRecord
import io.skylarkstile.schema.generated.KeyRecord
import io.skylarkstile.schema.generated.RouteRecord
import io.skylarkstile.schema.generated.TargetRecord
import io.skylarkstile.schema.generated.VersionRecord
import io.skylarkstile.schema.generated.WorkspaceRecord

/** All records up to [revision], by name. [leavingTargets] comes from the platform's instance list. */
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

/** Gives the newest known [Snapshot]. */
interface SnapshotSource {
    fun current(): Snapshot

    /** Calls [listener] after each change, on an unspecified thread. */
    fun onChange(listener: (Snapshot) -> Unit)
}
