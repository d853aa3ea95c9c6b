/*
 * Settings of the engine stand-in; each can be changed by `POST /control`.
 */
package io.skylarkstile.standin.engine

import io.skylarkstile.standin.http.Outage
import kotlinx.serialization.Serializable

/** Sizes, speeds and faults of an engine. "Next n" fields count down as they are used. */
@Serializable
data class EngineSettings(
    /** Adapters held at once, loading ones included. */
    val slots: Int = 16,
    /** Requests in one step. */
    val maxBatch: Int = 32,
    /** Refuses orders with an old fencing number; otherwise the number is ignored. */
    val fencing: Boolean = false,
    /** Address of the weight store; without one each load takes [loadMs] at full speed. */
    val weights: String? = null,
    val loadMs: Long = 250,
    /** Loads of this engine that run at full speed; beyond, each is proportionally slower. Used without a weight store. */
    val loadsAtFullSpeed: Int = 24,
    /** Time of one step in milliseconds. */
    val stepMs: Double = 10.0,
    /** Time added to a step for each prompt token that is not in the prefix cache, in milliseconds. */
    val prefillMsPerToken: Double = 0.05,
    /** Blocks of prompt text that the prefix cache holds. */
    val cacheBlocks: Int = 4_096,
    /** Generated tokens when a request names no `max_tokens`. */
    val defaultMaxTokens: Int = 256,
    /** Least share of `max_tokens` that an answer reaches; the share of each answer is fixed by its adapter, prompt and seed. */
    val minLengthShare: Double = 1.0,
    /** Age of the report that `GET /v1/state` shows, in milliseconds. */
    val stateLagMs: Long = 200,
    val cacheEventLagMs: Long = 500,
    /** Share of cache events that are never published. */
    val cacheEventGapShare: Double = 0.05,
    val outage: Outage = Outage.None,
    /** Time added to each call in milliseconds. */
    val delayMs: Long = 0,
    /** The next n loads fail with a 500 after their time. */
    val failLoads: Int = 0,
    val loadFailShare: Double = 0.0,
    /** The next n requests get a 503 and are not executed. */
    val rejectNext: Int = 0,
    /** The next n answers stay silent for [stallMs] after [stallAfter] tokens, then go on. */
    val stallNext: Int = 0,
    val stallAfter: Int = 2,
    val stallMs: Long = 600_000,
    /** The connections of the next n answers close after [breakAfter] tokens. */
    val breakNext: Int = 0,
    val breakAfter: Int = 2,
    /** The next n answers are crossed: a stream gets a chunk of another request after [crossAfter] tokens, a whole answer is another's. */
    val crossNext: Int = 0,
    val crossAfter: Int = 2,
) {
    init {
        require(slots > 0 && maxBatch > 0) { "slots and maxBatch must be positive" }
        require(stepMs > 0) { "stepMs must be positive" }
        require(minLengthShare in 0.0..1.0) { "minLengthShare must lie between 0 and 1" }
    }
}
