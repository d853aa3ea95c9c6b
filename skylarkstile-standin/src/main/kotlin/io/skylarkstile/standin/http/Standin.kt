/*
 * What all stand-ins have in common: one HTTP address that serves the imitated protocol together with the control calls
 * `POST /control`, `GET /control/state` and `GET /control/received`.
 */
package io.skylarkstile.standin.http

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpHandler
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.HttpServerLimits
import io.skylarkstile.transport.http.httpServer
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.serialization.json.JsonElement

/** A running stand-in. */
interface Standin : AutoCloseable {
    /** Address that is listened on, `ip:port`. */
    val address: String
}

/** The part of a stand-in that its control calls work on. */
internal interface StandinModel : HttpHandler {
    /** Runs `POST /control` and returns the settings in force, or what is wrong with [body]; nothing is changed in that case. */
    fun control(body: String): Result<JsonElement, String>

    /** Returns what `GET /control/state` shows. */
    fun state(): JsonElement

    /** Answers `GET /control/<path>` calls beyond the common ones. */
    fun read(request: HttpRequest): HttpAnswer? = null
}

/** Creates the coroutine scope of one stand-in. */
internal fun standinScope(): CoroutineScope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

/** Starts a server for [model] on [address]; [scope] ends with it. */
internal fun startStandin(
    address: String,
    model: StandinModel,
    scope: CoroutineScope? = null,
): Standin {
    val server = httpServer(address, standinLimits, ControlledHandler(model))
    return object : Standin {
        override val address = server.address

        override fun close() {
            scope?.cancel()
            server.close()
        }
    }
}

/** The size limits of the imitated protocols are checked by the stand-ins themselves, so the server's own bound is higher. */
private val standinLimits = HttpServerLimits(maxConnections = 20_000, maxHeaderBytes = 65_536, maxBodyBytes = 8 * 1_048_576)

/** Serves the control calls and passes everything else to [model] after noting it in the received log. */
private class ControlledHandler(
    private val model: StandinModel,
) : HttpHandler {
    private val received = ReceivedLog()

    override suspend fun handle(request: HttpRequest): HttpAnswer = when {
        request.path == "/control" && request.method == "POST" -> control(request)
        request.path == "/control/state" -> jsonAnswer(200, model.state())
        request.path == "/control/received" -> jsonAnswer(200, received.search(request.query["contains"]))
        request.path.startsWith("/control/") -> model.read(request) ?: errorAnswer(404, "not_found", "no control call ${request.path}")
        else -> {
            received.add(request)
            model.handle(request)
        }
    }

    private fun control(request: HttpRequest): HttpAnswer = model.control(request.body.decodeToString()).fold(
        success = { jsonAnswer(200, it) },
        failure = { errorAnswer(400, "bad_control", it) },
    )
}
