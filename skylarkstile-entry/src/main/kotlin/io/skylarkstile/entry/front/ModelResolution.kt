/*
 * Finds which adapter and version a model name means for a caller. Pure decisions on a [Snapshot].
 */
package io.skylarkstile.entry.front

import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.schema.generated.RouteRecord

/** What a model name stands for. [workspace] is charged for the request. */
internal data class ResolvedModel(
    val adapter: String,
    val version: String,
    val path: String,
    val workspace: String,
)

/**
 * Resolves [model] (`adapter`, `adapter@version` or the name of a model route) for a caller of [workspace], or `null` when there is none
 * that this caller may use. An adapter of another workspace is not told apart from an unknown one.
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
