/*
 * The weight store that engines load adapters from. It starts a limited number of loads a second and is slower when too many
 * loads run at once. `GET /weights/<path>` answers when the load is complete.
 */
package io.skylarkstile.standin.weights

import com.github.michaelbull.result.Result
import io.skylarkstile.standin.http.Controls
import io.skylarkstile.standin.http.Outage
import io.skylarkstile.standin.http.RateBucket
import io.skylarkstile.standin.http.Standin
import io.skylarkstile.standin.http.StandinModel
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

/** Speed and faults of the weight store; the defaults are the sizes of Cairo (design page, section 1.5). */
@Serializable
data class WeightsSettings(
    /** Loads started in a second; further ones wait. */
    val loadsPerSecond: Double = 7.0,
    /** Started loads that run at full speed; beyond, each is proportionally slower. */
    val loadsAtOnce: Int = 3,
    /** Loads asked for and not complete, waiting ones included, before all become proportionally slower. */
    val adaptersInFlight: Int = 24,
    /** Time of one load at full speed in milliseconds. */
    val loadMs: Long = 250,
    /** Factor on the time of each load. */
    val slowness: Double = 1.0,
    val outage: Outage = Outage.None,
    /** The next n loads fail with a 500 after their time. */
    val failLoads: Int = 0,
)

/** Starts the weight store stand-in on [address] (`ip:port`, port 0 picks a free one). */
fun weightsStandin(
    address: String,
    settings: WeightsSettings = WeightsSettings(),
): Standin = startStandin(address, WeightsModel(settings))

/** Answer of `GET /control/state`. */
@Serializable
internal data class WeightsState(
    val loads: Long,
    val failed: Long,
    val inFlight: Int,
    val started: Int,
    val maxInFlight: Int,
    val settings: WeightsSettings,
)

internal class WeightsModel(
    settings: WeightsSettings,
) : StandinModel {
    private val controls = Controls(WeightsSettings.serializer(), settings)
    private val inFlight = SharedRate()
    private val started = SharedRate()
    private val starts = RateBucket()
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
        started.counted { work(controls.now.loadMs.toDouble(), ::speed) }
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

/** Interval in milliseconds at which a waiting load asks for its start. */
private const val START_POLL_MS = 10L
