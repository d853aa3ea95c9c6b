/*
 * What an engine reports about its load. The report lags, so earlier ones are kept until they are old enough to be shown.
 */
package io.skylarkstile.standin.engine

import io.skylarkstile.standin.http.monotonicMs
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Answer of `GET /v1/state`. */
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
    /** Time since this state was observed, in milliseconds. */
    @SerialName("age_ms") val ageMs: Long = 0,
)

internal class EngineReports(
    private val lagMs: () -> Long,
    private val observe: () -> EngineReport,
) {
    private val lock = Any()
    private val kept = ArrayDeque<Pair<Long, EngineReport>>()

    /** Observes the engine at regular intervals while it reports with a lag. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                if (lagMs() > 0) sample(monotonicMs())
                delay(SAMPLE_MS)
            }
        }
    }

    /** Returns the newest report that is at least the configured lag old, or the oldest one there is. */
    fun shown(): EngineReport {
        val lag = lagMs()
        if (lag <= 0) return observe()
        val now = monotonicMs()
        return synchronized(lock) {
            val (at, report) = kept.lastOrNull { (at, _) -> at <= now - lag } ?: kept.firstOrNull() ?: (now to observe())
            report.copy(ageMs = now - at)
        }
    }

    fun clear() {
        synchronized(lock) { kept.clear() }
    }

    private fun sample(now: Long) {
        val report = observe()
        synchronized(lock) {
            kept.addLast(now to report)
            while (kept.size > 1 && kept[1].first <= now - lagMs()) kept.removeFirst()
        }
    }
}

private const val SAMPLE_MS = 50L
