/*
 * A TCP proxy that injects network faults. One process serves several links; a link is a listening address and its target.
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

/** Names a listening address (`ip:port`, port 0 picks a free one) and where its connections lead. */
@Serializable
data class LinkSpec(
    val name: String,
    val listen: String,
    val target: String,
    /**
     * Names of callers that share this link. A connection whose first bytes contain one of them (as the first message of a peer link
     * contains the instance name) is known under that name, and orders with `from` apply to it.
     */
    val callers: List<String> = emptyList(),
)

/** Directions in which the open connections of a link are silenced. */
@Serializable
enum class Silence {
    @SerialName("toTarget")
    ToTarget,

    @SerialName("fromTarget")
    FromTarget,

    @SerialName("both")
    Both,
}

/** Body of `POST /control`. Absent fields change nothing. */
@Serializable
data class ProxyOrder(
    /** Links to add. */
    val add: List<LinkSpec> = emptyList(),
    /** Links that the other fields apply to; a name that ends with `*` stands for all names with that prefix. */
    val links: List<String> = emptyList(),
    /** Limits the other fields to the connections of one of the link's callers. */
    val from: String? = null,
    /** Removes all faults first: silenced connections go on, half-open ones are closed. */
    val heal: Boolean = false,
    /** Time that bytes take in either direction, in milliseconds. */
    val delayMs: Double? = null,
    /** Closes all connections and refuses new ones. */
    val cut: Boolean? = null,
    /** Accepts new connections and never forwards them. */
    val halfOpen: Boolean? = null,
    /** Forwards nothing more in that direction on the connections that are open now; new ones work. */
    val silence: Silence? = null,
)

/** Lasting faults of a link, or of one caller of a link. */
@Serializable
data class LinkFaults(
    val delayMs: Double = 0.0,
    val cut: Boolean = false,
    val halfOpen: Boolean = false,
)

/** One link in `GET /control/state`. */
@Serializable
data class LinkState(
    val name: String,
    val listen: String,
    val target: String,
    val delayMs: Double,
    val cut: Boolean,
    val halfOpen: Boolean,
    val open: Int,
    /** Faults in force for single callers of the link. */
    val callerFaults: Map<String, LinkFaults>,
    val accepted: Long,
    val bytesToTarget: Long,
    val bytesFromTarget: Long,
)

/** Starts the proxy with its control calls on [address] and with [links]. */
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

internal class ProxyModel(
    private val loops: EventLoopGroup,
) : StandinModel,
    AutoCloseable {
    private val links = ConcurrentSkipListMap<String, ProxyLink>()

    override suspend fun handle(request: HttpRequest): HttpAnswer = errorAnswer(404, "not_found", "the proxy has control calls only")

    override fun state(): JsonElement = controlJson.encodeToJsonElement(links.values.map { it.state() })

    override fun control(body: String): Result<JsonElement, String> = try {
        run(controlJson.decodeFromString<ProxyOrder>(body))
    } catch (e: IllegalArgumentException) {
        Err(e.message ?: "malformed control body")
    } catch (e: IOException) {
        Err("listening failed: ${e.message}")
    }

    /**
     * Adds a link and starts to listen.
     *
     * @throws IOException when the address can't be bound
     */
    fun add(spec: LinkSpec) {
        require(spec.name !in links) { "link ${spec.name} exists" }
        links[spec.name] = ProxyLink(spec, loops).also { it.listen() }
    }

    override fun close() = links.values.forEach { it.close() }

    private fun run(order: ProxyOrder): Result<JsonElement, String> {
        order.add.forEach { add(it) }
        val unknown = order.links.filter { name -> matching(name).isEmpty() }
        if (unknown.isNotEmpty()) return Err("no links $unknown")
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
