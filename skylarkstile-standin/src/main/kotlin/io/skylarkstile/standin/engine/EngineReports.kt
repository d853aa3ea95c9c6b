/*
 * Provides the state reports of an engine with a configurable delay. Recent reports are buffered until they are old enough to be returned.
 */
package io.skylarkstile.standin.engine

import io.skylarkstile.standin.http.monotonicMs
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Represents the response of `GET /v1/state`. */
@Serializable
internal data class EngineReport(
    @SerialName("boot_id") val bootId: String,
    val slots: Int,
    @SerialName("max_batch") val maxBatch: Int,
    val loaded: List<LoadedAdapter>,
    val loading: List<String>,
    val running: Int,
    val queued: Int,
    @SerialName("fencing_number") val fencingNumber: Long,
    /** Age of this report in milliseconds. */
    @SerialName("age_ms") val ageMs: Long = 0,
)

/** Samples the state with [observe] and returns reports that are at least [lagMs] old. */
internal class EngineReports(
    private val lagMs: () -> Long,
    private val observe: () -> EngineReport,
) {
    private val lock = Any()
    private val samples = ArrayDeque<Pair<Long, EngineReport>>()

    /** Samples the engine state at regular intervals while a delay is configured. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                if (lagMs() > 0) sample(monotonicMs())
                delay(SAMPLE_MS)
            }
        }
    }

    /** Returns the newest report that is at least as old as the configured delay, or the oldest report if none is. */
    fun delayedReport(): EngineReport {
        val lag = lagMs()
        if (lag <= 0) return observe()
        val now = monotonicMs()
        return synchronized(lock) {
            val (at, report) = samples.lastOrNull { (at, _) -> at <= now - lag } ?: samples.firstOrNull() ?: (now to observe())
            report.copy(ageMs = now - at)
        }
    }

    fun clear() {
        synchronized(lock) { samples.clear() }
    }

    private fun sample(now: Long) {
        val report = observe()
        synchronized(lock) {
            samples.addLast(now to report)
            while (samples.size > 1 && samples[1].first <= now - lagMs()) samples.removeFirst()
        }
    }
}

private const val SAMPLE_MS = 50L
