/*
 * Serves a stand-in over HTTP: the imitated protocol and the control calls `POST /control`, `GET /control/state` and
 * `GET /control/received` on the same address.
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

/** Represents a running stand-in, a test double of a service, which is stopped by [close]. */
interface Standin : AutoCloseable {
    /** Listening address as `ip:port`. */
    val address: String
}

/** Implements the imitated protocol and the control calls of one kind of stand-in. */
internal interface StandinModel : HttpHandler {
    /** Handles `POST /control` and returns the result as JSON, or an error message. */
    fun control(body: String): Result<JsonElement, String>

    /** Returns the response body of `GET /control/state`. */
    fun state(): JsonElement

    /** Handles additional `GET /control/<path>` calls; returns `null` if the path is unknown. */
    fun read(request: HttpRequest): HttpAnswer? = null
}

/** Creates the coroutine scope for the background work of a stand-in. */
internal fun standinScope(): CoroutineScope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

/** Starts a server for [model] on [address]; closing it also cancels [scope]. */
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

/** Limits of the HTTP server. They exceed the size limits of the imitated protocols, which the stand-ins check themselves. */
private val standinLimits = HttpServerLimits(maxConnections = 20_000, maxHeaderBytes = 65_536, maxBodyBytes = 8 * 1_048_576)

/** Handles the control calls; records every other request in the received log and passes it to [model]. */
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
