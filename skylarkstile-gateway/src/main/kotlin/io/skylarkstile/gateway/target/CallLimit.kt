/*
 * The call rate that a target under pressure accepts from all instances together, as one instance knows it.
 */
package io.skylarkstile.gateway.target

import io.skylarkstile.gateway.model.NamedLimit

/** Tracks the limit of one target. Not thread-safe. */
class CallLimit {
    /** Calls per second that the target accepts, or null if it names no limit. */
    var callsPerSecond: Double? = null
        private set

    /** Applies what a response of the target says; returns whether the limit has changed. */
    fun observe(named: NamedLimit): Boolean {
        val before = callsPerSecond
        callsPerSecond =
            when (named) {
                NamedLimit.None -> null
                is NamedLimit.CallRate -> named.callsPerSecond
                NamedLimit.Malformed -> before
            }
        return callsPerSecond != before
    }
}
