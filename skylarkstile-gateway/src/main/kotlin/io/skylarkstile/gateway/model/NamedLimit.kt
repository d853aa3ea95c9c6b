/*
 * The limit that a target under pressure names in its responses.
 */
package io.skylarkstile.gateway.model

/** Represents what a response says about the rate at which its target accepts calls. */
sealed interface NamedLimit {
    /** The response names no limit. */
    data object None : NamedLimit

    /** The target accepts [callsPerSecond] from all instances together. */
    data class CallRate(
        val callsPerSecond: Double,
    ) : NamedLimit

    /** The response names a limit that can't be read. */
    data object Malformed : NamedLimit
}
