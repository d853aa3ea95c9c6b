/*
 * Writes the configuration records of a fleet directly through the object API.
 */
package io.skylarkstile.bench.fleet

import com.github.michaelbull.result.getOrThrow
import io.skylarkstile.config.key.createKey
import io.skylarkstile.schema.generated.AdapterRecord
import io.skylarkstile.schema.generated.KeyRecord
import io.skylarkstile.schema.generated.RouteRecord
import io.skylarkstile.schema.generated.TargetRecord
import io.skylarkstile.schema.generated.VersionRecord
import io.skylarkstile.schema.generated.WorkspaceRecord
import io.skylarkstile.schema.recordJson
import io.skylarkstile.transport.platform.ObjectStore

/** Name of the base model in every fleet. */
const val BASE_MODEL = "base-1"

/** Writes records unconditionally, as the operator's command does after its checks. */
class RecordWriter(
    val store: ObjectStore,
) {
    suspend fun workspace(
        name: String,
        requestsPerSecond: Double = 1_000.0,
        requestBurst: Double = 1_000.0,
        tokensPerSecond: Double = 1_000_000.0,
        tokenBurst: Double = 1_000_000.0,
        weight: Double = 1.0,
    ) = put("workspace", name, WorkspaceRecord(2, requestsPerSecond, requestBurst, tokensPerSecond, tokenBurst, weight))

    /** Creates a key of [workspace] and returns the text that callers send. */
    suspend fun key(
        id: String,
        workspace: String,
    ): String = createKey(id, workspace).also { put("key", id, it.record) }.text

    /** Marks the key [id] as withdrawn. */
    suspend fun withdrawKey(id: String) {
        val text = checkNotNull(store.get("key", id).getOrThrow { IllegalStateException("$it") }?.value) { "key $id does not exist" }
        put("key", id, recordJson.decodeFromString<KeyRecord>(text).copy(withdrawn = true))
    }

    /** Writes an adapter with [version] as its only and active version. */
    suspend fun adapter(
        name: String,
        workspace: String,
        version: String = "1",
    ) {
        version(name, version)
        put("adapter", name, AdapterRecord(1, workspace, BASE_MODEL, version))
    }

    suspend fun version(
        adapter: String,
        version: String,
        withdrawn: Boolean = false,
    ) = put("version", "$adapter@$version", VersionRecord(1, adapter, pathOf(adapter, version), withdrawn))

    suspend fun modelRoute(
        name: String,
        workspace: String,
        adapter: String,
        version: String? = null,
        open: Boolean = false,
    ) = put("route", name, RouteRecord(1, RouteRecord.Type.Model, workspace, open, adapter = adapter, version = version))

    suspend fun serviceRoute(
        name: String,
        workspace: String,
        service: String,
        open: Boolean = false,
    ) = put("route", name, RouteRecord(1, RouteRecord.Type.Service, workspace, open, service = service))

    suspend fun target(
        name: String,
        record: TargetRecord,
    ) = put("target", name, record)

    suspend inline fun <reified R> put(
        kind: String,
        name: String,
        record: R,
    ) {
        store.put(kind, name, recordJson.encodeToString(record), null).getOrThrow { IllegalStateException("$kind/$name: $it") }
    }

    companion object {
        /** Returns the path of the weights in the record of [version] of [adapter]. */
        fun pathOf(
            adapter: String,
            version: String,
        ): String = "weights/$adapter/$version"
    }
}
