/*
 * Site sizes that a run can simulate. The numbers of replicas, adapters and loads and the network distances come from the users'
 * descriptions of their sites; request rates are chosen so that an ideal placement stays below the load rate of the weight store.
 */
package io.skylarkstile.bench.trace

/** One workspace of a profile; [share] is its fraction of all requests. */
data class ProfileWorkspace(
    val name: String,
    val share: Double,
)

/** Size parameters of one site. Rates are per second, times in milliseconds; [slots] and [maxRunning] apply to each engine. */
data class Profile(
    val name: String,
    val dataCentres: Int,
    val engines: Int,
    val services: Int,
    val adapters: Int,
    val slots: Int,
    val maxRunning: Int,
    val storeLoadsPerSecond: Double,
    val storeLoadsAtOnce: Int,
    val adaptersInFlight: Int,
    val loadMs: Int,
    val requestsPerSecond: Double,
    val meanTokens: Int,
    val zipfExponent: Double,
    val workspaces: List<ProfileWorkspace>,
)

private val CAIRO_WORKSPACES =
    listOf(0.40, 0.28, 0.18, 0.09, 0.05).mapIndexed { i, share -> ProfileWorkspace("cairo-$i", share) }

private val PERTH_WORKSPACES =
    listOf(0.45, 0.25, 0.15, 0.10, 0.05).mapIndexed { i, share -> ProfileWorkspace("perth-$i", share) }

/** The profiles that `bench run --profile` accepts, by name. */
val profiles: Map<String, Profile> =
    listOf(
        Profile("cairo", 3, 13, 3, 3_000, 16, 16, 7.0, 3, 24, 250, 30.0, 24, 1.2, CAIRO_WORKSPACES),
        Profile("perth", 4, 8, 4, 3_000, 16, 16, 3.0, 2, 16, 250, 14.0, 24, 1.2, PERTH_WORKSPACES),
        Profile("small", 3, 3, 1, 60, 8, 8, 7.0, 3, 24, 250, 12.0, 12, 1.2, CAIRO_WORKSPACES),
    ).associateBy { it.name }
