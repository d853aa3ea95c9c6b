/*
 * Settings of the object API stand-in; each can be changed by `POST /control`.
 */
package io.skylarkstile.standin.objects

import io.skylarkstile.standin.http.Outage
import io.skylarkstile.standin.http.Withheld
import io.skylarkstile.transport.platform.ListedInstance
import kotlinx.serialization.Serializable

/** Rates, bounds and faults of the object API. "Next n" fields count down as they are used. */
@Serializable
data class ObjectsSettings(
    /** Reads (get, list, watch, instances) answered in a second; further ones get a 429. */
    val readsPerSecond: Double = 2_000.0,
    /** Writes (put, delete) answered in a second; further ones get a 429. */
    val writesPerSecond: Double = 400.0,
    /** Changes kept for watches; a watch from before them gets a 410. */
    val historyLimit: Int = 10_000,
    /** Characters of the values in those changes. Ledger objects are up to a megabyte, so the number alone does not bound the memory. */
    val historyCharacters: Long = 16_000_000,
    /** Largest value in bytes; larger ones get a 413. */
    val maxValueBytes: Int = 1_048_576,
    val outage: Outage = Outage.None,
    /** Time added to each call in milliseconds. */
    val delayMs: Long = 1,
    /** The answers of the next n writes are withheld after the write took effect. */
    val loseAnswers: Int = 0,
    /** Share of writes whose answer is withheld after the write took effect. */
    val loseShare: Double = 0.0,
    val loseMode: Withheld = Withheld.Silent,
    /** The next n writes get a 503 and take no effect. */
    val failWrites: Int = 0,
    /** Lines of the instance list. */
    val instances: List<ListedInstance> = emptyList(),
    /** Names of lines that are shown as leaving. */
    val leaving: Set<String> = emptySet(),
    /** Age of the instance list that is shown, in milliseconds. */
    val instancesLagMs: Long = 1_000,
) {
    init {
        require(loseShare in 0.0..1.0) { "loseShare must lie between 0 and 1" }
        require(historyLimit >= 0) { "historyLimit must not be negative" }
        require(historyCharacters >= 0) { "historyCharacters must not be negative" }
        val unknown = leaving - instances.map { it.instance }.toSet()
        require(unknown.isEmpty()) { "leaving names instances that are not listed: $unknown" }
    }

    /** The instance list without its lag. */
    internal fun lines(): List<ListedInstance> = instances.map { if (it.instance in leaving) it.copy(state = "leaving") else it }
}
