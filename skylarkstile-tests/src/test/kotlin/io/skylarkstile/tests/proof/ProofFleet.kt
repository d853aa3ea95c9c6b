/*
 * The fleet that several specs of this package use, with accessors for its counters and state.
 */
package io.skylarkstile.tests.proof

import io.skylarkstile.bench.fleet.EntryInstance
import io.skylarkstile.bench.fleet.Fleet
import io.skylarkstile.tests.harness.Caller
import io.skylarkstile.tests.harness.jsonOrNull
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long

/** Holds three entry instances, one engine and two services for workspaces `cairo` and `perth`, with a fault proxy on each connection. */
internal class ProofFleet(
    val fleet: Fleet,
    val entries: List<EntryInstance>,
) {
    val engine get() = fleet.targets.first { it.record.baseModel != null }
    val services get() = fleet.targets.filter { it.record.service != null }

    fun caller(
        entry: EntryInstance,
        key: String?,
        idleTimeoutMs: Long = 6_000,
    ) = Caller(fleet.client, entry.process.address, key, idleTimeoutMs)

    /** Returns the counters in [field] of the services' state, summed over all services. */
    suspend fun executions(field: String): Map<String, Int> = services
        .flatMap {
            countsOf(
                it.control
                    .state()
                    .jsonObject
                    .getValue(field),
            ).entries
        }.groupBy({ it.key }, { it.value })
        .mapValues { it.value.sum() }

    /** Returns how often the engine executed each request, by request id. */
    suspend fun engineExecutions(): Map<String, Int> =
        countsOf(checkNotNull(jsonOrNull(Caller(fleet.client, engine.control.address, null).call("GET", "/control/executions").body)))

    /** Returns the snapshot revision in the state dump of [entry], or `null` when the instance does not answer. */
    suspend fun revisionOrNull(entry: EntryInstance): Long? {
        val dump = jsonOrNull(Caller(fleet.client, entry.addresses.admin, null, 1_000).call("GET", "/dump").body) as? JsonObject
        return ((dump?.get("snapshot") as? JsonObject)?.get("revision") as? JsonPrimitive)?.long
    }

    private fun countsOf(json: JsonElement) = json.jsonObject.mapValues {
        it.value.jsonPrimitive.long
            .toInt()
    }
}

/** Starts the fleet, runs [block] on it and ends its processes. */
internal suspend fun withProofFleet(
    name: String,
    block: suspend ProofFleet.() -> Unit,
) = Fleet(name, proxied = true).use { fleet ->
    fleet.start()
    fleet.weights()
    for (workspace in listOf("cairo", "perth")) {
        fleet.records.workspace(workspace)
        fleet.records.adapter("$workspace-stamps", workspace)
        fleet.records.modelRoute("$workspace-open-model", workspace, "$workspace-stamps", open = true)
        fleet.records.modelRoute("$workspace-model", workspace, "$workspace-stamps")
        fleet.records.serviceRoute("$workspace-service", workspace, "registry")
        fleet.records.serviceRoute("$workspace-open-service", workspace, "registry", open = true)
    }
    coroutineScope {
        val targets = (1..2).map { async { fleet.service("registry-$it", "registry") } } + async { fleet.engine("engine-1") }
        targets.awaitAll()
    }
    val entries = (1..3).map { fleet.launchEntry("entry-$it") }
    entries.forEach { it.process.awaitReady() }
    ProofFleet(fleet, entries).block()
}
