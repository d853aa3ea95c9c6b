/*
 * Resolves model names to adapters and versions for a caller, from a [Snapshot] alone.
 */
package io.skylarkstile.entry.front

import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.schema.generated.RouteRecord

/** Holds the adapter and version that a model name resolves to. The request is charged to [workspace]. */
internal data class ResolvedModel(
    val adapter: String,
    val version: String,
    val path: String,
    val workspace: String,
)

/**
 * Resolves [model] (`adapter`, `adapter@version` or the name of a model route) for a caller of [workspace]. Returns `null` for a model
 * that does not exist or that this caller may not use; the two cases are not distinguished.
 */
internal fun Snapshot.resolveModelOrNull(
    model: String,
    workspace: String?,
): ResolvedModel? {
    val name = model.substringBefore('@')
    val requestedVersion = model.substringAfter('@', "").ifEmpty { null }
    val route = routes[name]?.takeIf { it.type == RouteRecord.Type.Model }
    if (route != null) return resolveRouteOrNull(route, requestedVersion, workspace)
    val adapter = adapters[name] ?: return null
    return if (adapter.workspace == workspace) resolveAdapterOrNull(name, requestedVersion, adapter.workspace) else null
}

private fun Snapshot.resolveRouteOrNull(
    route: RouteRecord,
    requestedVersion: String?,
    workspace: String?,
): ResolvedModel? {
    if (!route.open && route.workspace != workspace) return null
    if (requestedVersion != null && route.version != null && requestedVersion != route.version) return null
    val adapter = route.adapter ?: return null
    return resolveAdapterOrNull(adapter, requestedVersion ?: route.version, route.workspace)
}

private fun Snapshot.resolveAdapterOrNull(
    adapter: String,
    requestedVersion: String?,
    chargedWorkspace: String,
): ResolvedModel? {
    val record = adapters[adapter] ?: return null
    val version = requestedVersion ?: record.activeVersion
    val versionRecord = versions["$adapter@$version"]?.takeIf { !it.withdrawn && it.adapter == adapter } ?: return null
    return ResolvedModel(adapter, version, versionRecord.path, chargedWorkspace)
}

/** Returns the models that a caller of [workspace] may use, sorted by name. */
internal fun Snapshot.modelsFor(workspace: String?): List<String> = (
    adapters.filterValues { it.workspace == workspace }.keys +
        routes.filterValues { it.type == RouteRecord.Type.Model && (it.open || it.workspace == workspace) }.keys
).sorted()
