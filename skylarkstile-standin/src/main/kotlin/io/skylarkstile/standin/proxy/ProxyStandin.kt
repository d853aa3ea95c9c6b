/*
 * Imitates network faults with a TCP proxy. One process serves several links; a link is a listening address and its target.
 */
package io.skylarkstile.standin.proxy

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import io.skylarkstile.standin.http.Standin
import io.skylarkstile.standin.http.StandinModel
import io.skylarkstile.standin.http.controlJson
import io.skylarkstile.standin.http.errorAnswer
import io.skylarkstile.standin.http.startStandin
import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpRequest
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.encodeToJsonElement
import java.io.IOException
import java.util.concurrent.ConcurrentSkipListMap

/** Defines a link: a listening address (`ip:port`; port 0 selects a free port) and the target of its connections. */
@Serializable
data class LinkSpec(
    val name: String,
    val listen: String,
    val target: String,
    /**
     * Names of the callers that share this link. A connection is assigned to the caller whose name its first bytes contain; the first
     * message of a peer link contains the instance name. Orders with `from` apply to the connections of that caller.
     */
    val callers: List<String> = emptyList(),
)

/** Selects the directions in which the open connections of a link stop forwarding. */
@Serializable
enum class Silence {
    @SerialName("toTarget")
    ToTarget,

    @SerialName("fromTarget")
    FromTarget,

    @SerialName("both")
    Both,
}

/** Represents the body of `POST /control`. Absent fields change nothing. */
@Serializable
data class ProxyOrder(
    /** Links to add. */
    val add: List<LinkSpec> = emptyList(),
    /** Links that the other fields apply to; a name that ends with `*` matches all names with that prefix. */
    val links: List<String> = emptyList(),
    /** Restricts the other fields to the connections of one caller of the link. */
    val from: String? = null,
    /** Removes all faults first: silenced connections resume, half-open ones are closed. */
    val heal: Boolean = false,
    /** Latency in each direction, in milliseconds. */
    val delayMs: Double? = null,
    /** Closes all connections and refuses new ones. */
    val cut: Boolean? = null,
    /** Accepts new connections and never forwards them. */
    val halfOpen: Boolean? = null,
    /** Stops forwarding in that direction on currently open connections; new connections work. */
    val silence: Silence? = null,
)

/** Describes the persistent faults of a link, or of one caller of a link. */
@Serializable
data class LinkFaults(
    val delayMs: Double = 0.0,
    val cut: Boolean = false,
    val halfOpen: Boolean = false,
)

/** Describes a link in `GET /control/state`. */
@Serializable
data class LinkState(
    val name: String,
    val listen: String,
    val target: String,
    val delayMs: Double,
    val cut: Boolean,
    val halfOpen: Boolean,
    val open: Int,
    /** Active faults of individual callers of the link. */
    val callerFaults: Map<String, LinkFaults>,
    val accepted: Long,
    val bytesToTarget: Long,
    val bytesFromTarget: Long,
)

/** Starts the proxy with [links]; its control calls are served on [address]. */
fun proxyStandin(
    address: String,
    links: List<LinkSpec> = emptyList(),
): Standin {
    val loops = MultiThreadIoEventLoopGroup(PROXY_THREADS, DefaultThreadFactory("proxy", true), NioIoHandler.newFactory())
    val model = ProxyModel(loops)
    links.forEach { model.add(it) }
    val server = startStandin(address, model)
    return object : Standin by server {
        override fun close() {
            server.close()
            model.close()
            loops.shutdownGracefully()
        }
    }
}

/** Handles the control calls of the proxy. */
internal class ProxyModel(
    private val loops: EventLoopGroup,
) : StandinModel,
    AutoCloseable {
    private val links = ConcurrentSkipListMap<String, ProxyLink>()

    override suspend fun handle(request: HttpRequest): HttpAnswer = errorAnswer(404, "not_found", "the proxy only serves control calls")

    override fun state(): JsonElement = controlJson.encodeToJsonElement(links.values.map { it.state() })

    override fun control(body: String): Result<JsonElement, String> = try {
        run(controlJson.decodeFromString<ProxyOrder>(body))
    } catch (e: IllegalArgumentException) {
        Err(e.message ?: "malformed control body")
    } catch (e: IOException) {
        Err("cannot listen: ${e.message}")
    }

    /**
     * Adds a link and starts listening.
     *
     * @throws IOException if the address cannot be bound
     */
    fun add(spec: LinkSpec) {
        require(spec.name !in links) { "link ${spec.name} already exists" }
        links[spec.name] = ProxyLink(spec, loops).also { it.listen() }
    }

    override fun close() = links.values.forEach { it.close() }

    private fun run(order: ProxyOrder): Result<JsonElement, String> {
        order.add.forEach { add(it) }
        val unknown = order.links.filter { name -> matching(name).isEmpty() }
        if (unknown.isNotEmpty()) return Err("unknown links $unknown")
        order.links
            .flatMap { matching(it) }
            .distinct()
            .forEach { it.apply(order) }
        return Ok(state())
    }

    private fun matching(name: String): List<ProxyLink> = if (name.endsWith('*')) {
        links.filterKeys { it.startsWith(name.dropLast(1)) }.values.toList()
    } else {
        listOfNotNull(links[name])
    }
}

private const val PROXY_THREADS = 4
