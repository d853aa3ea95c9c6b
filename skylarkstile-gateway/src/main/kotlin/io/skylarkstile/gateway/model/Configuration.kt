/*
 * The operator's configuration: routes, services with their engines, workspaces with keys and rates, and limits on callers.
 */
package io.skylarkstile.gateway.model

import kotlin.math.floor

/**
 * Holds a complete configuration. [revision] is assigned by the store, [version] by the operator. [workspaces] is null if the configuration
 * names none, and then no route asks for a key; with an empty list, routes that aren't public ask for a key that nobody has.
 */
data class Configuration(
    val revision: Long,
    val version: Long,
    val routes: List<Route>,
    val services: Map<String, Service>,
    val workspaces: List<Workspace>?,
    val limits: CallerLimits,
) {
    private val byHost: Map<String, Map<String, Route>> =
        routes.groupBy { it.host }.mapValues { (_, routes) -> routes.associateBy { it.pathPrefix } }
    private val byKey: Map<String, Workspace> = workspaces.orEmpty().flatMap { w -> w.keys.map { it to w } }.toMap()

    /** Returns the route of [host] with the longest prefix of [path]. Prefixes begin and end with a slash. */
    fun routeOrNull(
        host: String,
        path: String,
    ): Route? {
        val prefixes = byHost[host] ?: return null
        var end = path.lastIndexOf('/')
        while (end >= 0) {
            prefixes[path.substring(0, end + 1)]?.let { return it }
            end = if (end == 0) -1 else path.lastIndexOf('/', end - 1)
        }
        return null
    }

    /** Returns the workspace that holds [key]. */
    fun workspaceOrNull(key: String): Workspace? = byKey[key]
}

/** Tells whether a call may be executed more than once. */
enum class Repeatability { Safe, Once, ResumableStream, OnceStream }

/** Describes one route. Times are in milliseconds; [priority] 0 is the most urgent. */
data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val repeatability: Repeatability,
    val timeoutMs: Long,
    val targetLatencyMs: Long,
    val priority: Int,
    val services: List<WeightedService>,
    val maxAttempts: Int,
    val isPublic: Boolean,
) {
    val isStream: Boolean get() = repeatability == Repeatability.ResumableStream || repeatability == Repeatability.OnceStream
    val isRepeatable: Boolean get() = repeatability == Repeatability.Safe || repeatability == Repeatability.ResumableStream
}

/** One of the services that share a route's requests in proportion to their weights. */
data class WeightedService(
    val service: String,
    val weight: Int,
)

/** Describes a service; [engine] is set where its targets run models. */
data class Service(
    val name: String,
    val maxConnections: Int,
    val engine: Engine?,
    /** Path of the health check of the targets; null if they have none. */
    val healthPath: String? = null,
    /** What targets accept after their start; null if they accept the same as later. */
    val coldStart: ColdStart? = null,
)

/** Says that a target accepts only [callsPerSecond] from all instances together for [durationMs] milliseconds after its start. */
data class ColdStart(
    val callsPerSecond: Double,
    val durationMs: Long,
)

/** Describes the engine of a service's targets. */
data class Engine(
    val slots: Int,
    /** Capacity of a target's memory in tokens of running calls and cached prompts. */
    val memoryCapacityTokens: Int,
    val adapterCapacity: Int,
    val weightsMb: Double,
    val loadsPerSecond: Double,
    val models: List<BaseModel>,
) {
    /**
     * Returns how many adapters a target holds beside the base models [held], by its places and by its memory for weights. Each adapter counts
     * with the largest size among the adapters of these models. A size of 0 isn't stated, and then only the places count.
     */
    fun maxAdapters(held: Set<String>): Int {
        val beside = models.filter { it.name in held }.ifEmpty { models }
        val adapterMb = beside.maxOfOrNull { it.adapterMb } ?: 0.0
        if (weightsMb <= 0 || adapterMb <= 0) return adapterCapacity
        val freeMb = weightsMb - beside.sumOf { it.weightsMb }
        // Sizes are written with decimal fractions, so a sum that fits exactly may come out a little too large.
        val fitting = floor(freeMb / adapterMb + ROUNDING).coerceIn(0.0, adapterCapacity.toDouble())
        return fitting.toInt()
    }

    private companion object {
        const val ROUNDING = 1e-6
    }
}

/** Describes a base model; sizes are in megabytes. */
data class BaseModel(
    val name: String,
    val weightsMb: Double,
    val adapterMb: Double,
    val loadMs: Long,
)

/** Describes a workspace. Its [priority], if set, overrides the route's. */
data class Workspace(
    val name: String,
    val keys: List<String>,
    val priority: Int?,
    val rate: TokenRate?,
)

/** Rate limit over all instances together. A call without token counts costs [defaultCost]. */
data class TokenRate(
    val perSecond: Double,
    val burst: Double,
    val defaultCost: Int,
)

/** Limits on requests from callers, in bytes and milliseconds. */
data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeoutMs: Long,
    val idleTimeoutMs: Long,
)
