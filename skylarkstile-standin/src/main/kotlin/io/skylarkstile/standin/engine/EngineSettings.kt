/*
 * Settings of the engine stand-in. Each can be changed at run time with `POST /control`.
 */
package io.skylarkstile.standin.engine

import io.skylarkstile.standin.http.Outage
import kotlinx.serialization.Serializable

/** Configures the capacity, speed and injected faults of an engine. "Next n" fields are decremented with each use. */
@Serializable
data class EngineSettings(
    /** Maximum number of adapters, including those being loaded. */
    val slots: Int = 16,
    /** Maximum number of requests in one step. */
    val maxBatch: Int = 32,
    /** Whether orders with an outdated fencing number are rejected; if `false`, the number is ignored. */
    val fencing: Boolean = false,
    /** Address of the weight store. Without one, a load takes [loadMs] at full speed. */
    val weights: String? = null,
    val loadMs: Long = 250,
    /** Number of concurrent loads at full speed; with more, each is proportionally slower. Only used without a weight store. */
    val loadsAtFullSpeed: Int = 24,
    /** Duration of one step in milliseconds. */
    val stepMs: Double = 10.0,
    /** Time added to a step for each prompt token that is not in the prefix cache, in milliseconds. */
    val prefillMsPerToken: Double = 0.05,
    /** Capacity of the prefix cache in blocks of prompt text. */
    val cacheBlocks: Int = 4_096,
    /** Default of `max_tokens`. */
    val defaultMaxTokens: Int = 256,
    /** Minimum length of a response as a fraction of `max_tokens`; the actual fraction depends on adapter, path, prompt and seed only. */
    val minLengthShare: Double = 1.0,
    /** Minimum age of the report that `GET /v1/state` returns, in milliseconds. */
    val stateLagMs: Long = 200,
    /** Delay before a cache event is published, in milliseconds. */
    val cacheEventLagMs: Long = 500,
    /** Fraction of cache events that are never published. */
    val cacheEventGapShare: Double = 0.05,
    val outage: Outage = Outage.None,
    /** Delay added to each call, in milliseconds. */
    val delayMs: Long = 0,
    /** Fails the next n loads with status 500 after their normal duration. */
    val failLoads: Int = 0,
    /** Fraction of loads that fail at random. */
    val loadFailShare: Double = 0.0,
    /** Rejects the next n requests with status 503 without executing them. */
    val rejectNext: Int = 0,
    /** Pauses the next n responses for [stallMs] milliseconds after [stallAfter] tokens. */
    val stallNext: Int = 0,
    val stallAfter: Int = 2,
    val stallMs: Long = 600_000,
    /** Closes the connections of the next n responses after [breakAfter] tokens. */
    val breakNext: Int = 0,
    val breakAfter: Int = 2,
    /**
     * Mixes up the next n responses: a stream gets an additional chunk of another request after [crossAfter] tokens, a non-streaming
     * response has the text and id of another request.
     */
    val crossNext: Int = 0,
    val crossAfter: Int = 2,
) {
    init {
        require(slots > 0 && maxBatch > 0) { "slots and maxBatch must be positive" }
        require(stepMs > 0) { "stepMs must be positive" }
        require(minLengthShare in 0.0..1.0) { "minLengthShare must lie between 0 and 1" }
    }
}
