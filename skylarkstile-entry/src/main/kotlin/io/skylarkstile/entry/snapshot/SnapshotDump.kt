/*
 * Builds the snapshot section of the state dump.
 */
package io.skylarkstile.entry.snapshot

import io.skylarkstile.config.record.RecordKind
import io.skylarkstile.core.snapshot.Snapshot
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong

/** Holds counters of the synchronization for the dump, and the latest revision that each peer announced. */
internal class SyncCounters {
    val pulls = AtomicLong()
    val pushes = AtomicLong()
    val platformWorks = AtomicBoolean(true)
    val announcedRevisions = ConcurrentHashMap<String, Long>()
}

internal fun dumpOf(
    state: SnapshotState,
    snapshot: Snapshot,
    isWatcher: Boolean,
    isPoller: Boolean,
    counters: SyncCounters,
): JsonElement = buildJsonObject {
    put("revision", state.revision)
    put("knownRevision", state.knownRevision)
    put("watcher", isWatcher)
    put("poller", isPoller)
    put("platformWorks", counters.platformWorks.get())
    put("pulls", counters.pulls.get())
    put("pushesReceived", counters.pushes.get())
    putJsonObject("records") {
        RecordKind.entries.forEach { kind -> put(kind.label, state.table.stored.count { it.kind == kind.label }) }
    }
    putJsonArray("unreadable") {
        for (record in state.table.unreadable) {
            addJsonObject {
                put("kind", record.kind)
                put("name", record.name)
                put("version", record.version)
                put("problem", record.problem)
            }
        }
    }
    putJsonArray("leavingTargets") { snapshot.leavingTargets.sorted().forEach { add(it) } }
    putJsonArray("withdrawnKeys") {
        snapshot.keys
            .filter { it.value.withdrawn }
            .keys
            .sorted()
            .forEach { add(it) }
    }
}
