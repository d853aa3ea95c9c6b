/*
 * Settings of the object API stand-in. Each can be changed at run time with `POST /control`.
 */
package io.skylarkstile.standin.objects

import io.skylarkstile.standin.http.Outage
import io.skylarkstile.standin.http.WithholdMode
import io.skylarkstile.transport.platform.ListedInstance
import kotlinx.serialization.Serializable

/** Configures the rates, limits and injected faults of the object API. "Next n" fields are decremented with each use. */
@Serializable
data class ObjectsSettings(
    /** Reads (get, list, watch, instances) allowed per second; further ones get status 429. */
    val readsPerSecond: Double = 2_000.0,
    /** Writes (put, delete) allowed per second; further ones get status 429. */
    val writesPerSecond: Double = 400.0,
    /** Number of changes kept for watches; a watch from an earlier revision gets status 410. */
    val historyLimit: Int = 10_000,
    /**
     * Maximum total number of characters of the values in those changes. Ledger objects are up to a megabyte each, so [historyLimit] alone
     * does not bound the memory.
     */
    val historyCharacters: Long = 16_000_000,
    /** Maximum size of a value in bytes; larger ones get status 413. */
    val maxValueBytes: Int = 1_048_576,
    val outage: Outage = Outage.None,
    /** Delay added to each call, in milliseconds. */
    val delayMs: Long = 1,
    /** Withholds the responses of the next n writes after the write took effect, as [loseMode] specifies. */
    val loseAnswers: Int = 0,
    /** Fraction of writes whose response is withheld after the write took effect. */
    val loseShare: Double = 0.0,
    val loseMode: WithholdMode = WithholdMode.Silent,
    /** Rejects the next n writes with status 503; they have no effect. */
    val failWrites: Int = 0,
    /** Entries of the instance list. */
    val instances: List<ListedInstance> = emptyList(),
    /** Names of the listed instances whose state is `leaving`. */
    val leaving: Set<String> = emptySet(),
    /** Delay until a change of the instance list becomes visible, in milliseconds. */
    val instancesLagMs: Long = 1_000,
) {
    init {
        require(loseShare in 0.0..1.0) { "loseShare must lie between 0 and 1" }
        require(historyLimit >= 0) { "historyLimit must not be negative" }
        require(historyCharacters >= 0) { "historyCharacters must not be negative" }
        val unknown = leaving - instances.map { it.instance }.toSet()
        require(unknown.isEmpty()) { "leaving contains instances that are not listed: $unknown" }
    }

    /** Returns the current instance list, without the delay. */
    internal fun listedInstances(): List<ListedInstance> = instances.map { if (it.instance in leaving) it.copy(state = "leaving") else it }
}
