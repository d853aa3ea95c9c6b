/*
 * The sizes that a run imitates. Numbers of replicas, adapters, loads and distances come from the users' descriptions of their sites;
 * request rates are chosen so that an ideal placement stays below the weight store's rate.
 */
package io.skylarkstile.bench.trace

/** One customer of a profile; [share] is its part of all requests. */
data class ProfileWorkspace(
    val name: String,
    val share: Double,
)

/** The sizes of one site. Rates are per second, times in milliseconds. */
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

/** The profiles that `bench run --profile` knows, by name. */
val profiles: Map<String, Profile> =
    listOf(
        Profile("cairo", 3, 13, 3, 3_000, 16, 16, 7.0, 3, 24, 250, 30.0, 24, 1.2, CAIRO_WORKSPACES),
        Profile("perth", 4, 8, 4, 3_000, 16, 16, 3.0, 2, 16, 250, 14.0, 24, 1.2, PERTH_WORKSPACES),
        Profile("small", 3, 3, 1, 60, 8, 8, 7.0, 3, 24, 250, 12.0, 12, 1.2, CAIRO_WORKSPACES),
    ).associateBy { it.name }
