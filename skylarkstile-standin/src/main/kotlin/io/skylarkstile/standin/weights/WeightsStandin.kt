/*
 * Imitates the weight store that engines load adapters from. It starts a limited number of loads per second and slows down when too many
 * loads are in progress. `GET /weights/<path>` responds when the load is complete.
 */
package io.skylarkstile.standin.weights

import com.github.michaelbull.result.Result
import io.skylarkstile.standin.http.Controls
import io.skylarkstile.standin.http.Outage
import io.skylarkstile.standin.http.Standin
import io.skylarkstile.standin.http.StandinModel
import io.skylarkstile.standin.http.TokenBucket
import io.skylarkstile.standin.http.controlJson
import io.skylarkstile.standin.http.errorAnswer
import io.skylarkstile.standin.http.jsonAnswer
import io.skylarkstile.standin.http.monotonicMs
import io.skylarkstile.standin.http.outageAnswer
import io.skylarkstile.standin.http.startStandin
import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpRequest
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.encodeToJsonElement
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.LongAdder

/** Configures the speed and injected faults of the weight store; the defaults are those of the Cairo site (design page, section 1.5). */
@Serializable
data class WeightsSettings(
    /** Loads started per second; further loads wait. */
    val loadsPerSecond: Double = 7.0,
    /** Number of started loads that run at full speed; with more, each is proportionally slower. */
    val loadsAtOnce: Int = 3,
    /** Number of incomplete loads, including waiting ones, above which all loads become proportionally slower. */
    val adaptersInFlight: Int = 24,
    /** Duration of one load at full speed, in milliseconds. */
    val loadMs: Long = 250,
    /** Factor applied to the duration of each load. */
    val slowness: Double = 1.0,
    val outage: Outage = Outage.None,
    /** Fails the next n loads with status 500 after their normal duration. */
    val failLoads: Int = 0,
)

/** Starts the weight store stand-in on [address] (`ip:port`; port 0 selects a free port). */
fun weightsStandin(
    address: String,
    settings: WeightsSettings = WeightsSettings(),
): Standin = startStandin(address, WeightsModel(settings))

/** Represents the response of `GET /control/state`. */
@Serializable
internal data class WeightsState(
    val loads: Long,
    val failed: Long,
    val inFlight: Int,
    val started: Int,
    val maxInFlight: Int,
    val settings: WeightsSettings,
)

/** Handles load requests at the configured rate and speed. */
internal class WeightsModel(
    settings: WeightsSettings,
) : StandinModel {
    private val controls = Controls(WeightsSettings.serializer(), settings)
    private val inFlight = InProgressCounter()
    private val started = InProgressCounter()
    private val starts = TokenBucket()
    private val loads = LongAdder()
    private val failed = LongAdder()
    private val maxInFlight = AtomicInteger()

    override fun control(body: String): Result<JsonElement, String> = controls.apply(body) { false }

    override fun state(): JsonElement = controlJson.encodeToJsonElement(
        WeightsState(loads.sum(), failed.sum(), inFlight.inProgress, started.inProgress, maxInFlight.get(), controls.now),
    )

    override suspend fun handle(request: HttpRequest): HttpAnswer = when {
        request.method != "GET" || !request.path.startsWith("/weights/") -> errorAnswer(404, "not_found", "no call ${request.path}")
        controls.now.outage != Outage.None -> outageAnswer(controls.now.outage)
        else -> inFlight.counted { load() }
    }

    private suspend fun load(): HttpAnswer {
        maxInFlight.accumulateAndGet(inFlight.inProgress, ::maxOf)
        while (!starts.take(controls.now.loadsPerSecond, monotonicMs())) delay(START_POLL_MS)
        started.counted { simulateWork(controls.now.loadMs.toDouble(), ::speed) }
        if (controls.now.outage != Outage.None) return outageAnswer(controls.now.outage)
        if (controls.take({ it.failLoads }, { s, n -> s.copy(failLoads = n) })) {
            failed.increment()
            return errorAnswer(500, "load_failed", "injected failure")
        }
        loads.increment()
        return jsonAnswer(200, "loaded")
    }

    private fun speed(): Double {
        val settings = controls.now
        val crowding =
            maxOf(
                1.0,
                started.inProgress.toDouble() / settings.loadsAtOnce,
                inFlight.inProgress.toDouble() / settings.adaptersInFlight,
            )
        return 1.0 / (settings.slowness * crowding)
    }
}

/** Interval at which a waiting load checks whether it may start, in milliseconds. */
private const val START_POLL_MS = 10L
