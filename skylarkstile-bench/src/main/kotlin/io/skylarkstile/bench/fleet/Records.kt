/*
 * Records that a fleet writes directly through the object API.
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

/** Name of the base model in all fleets. */
const val BASE_MODEL = "base-1"

/** Writes records without a condition, as an operator's tool would after its checks. */
class Records(
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

    /** Creates a key of [workspace] and returns the text that callers present. */
    suspend fun key(
        id: String,
        workspace: String,
    ): String = createKey(id, workspace).also { put("key", id, it.record) }.text

    /** Withdraws the key [id]. */
    suspend fun withdrawKey(id: String) {
        val text = checkNotNull(store.get("key", id).getOrThrow { IllegalStateException("$it") }?.value) { "no key $id" }
        put("key", id, recordJson.decodeFromString<KeyRecord>(text).copy(withdrawn = true))
    }

    /** Writes an adapter with one version, which is its active one. */
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
        /** Path of the weights that the records of [adapter] name. */
        fun pathOf(
            adapter: String,
            version: String,
        ): String = "weights/$adapter/$version"
    }
}
