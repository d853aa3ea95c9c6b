/*
 * HTTP calls between instances: store changes, which may exceed a datagram and need reliable delivery, and the liveness check of a silent
 * instance.
 */
package io.skylarkstile.gateway.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.netty.channel.Channel
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpMethod
import io.skylarkstile.config.log.event
import io.skylarkstile.gateway.http.ControlClient
import io.skylarkstile.gateway.http.ControlRequest
import io.skylarkstile.gateway.http.ControlResponse
import io.skylarkstile.gateway.http.ControlResult
import io.skylarkstile.gateway.http.serveControl
import io.skylarkstile.gateway.membership.LivenessCheck
import io.skylarkstile.gateway.store.ChangesSince
import io.skylarkstile.gateway.store.ChangesSource
import io.skylarkstile.gateway.store.LatestChanges
import io.skylarkstile.gateway.store.SeenChange
import io.skylarkstile.gateway.store.StoreKind
import io.skylarkstile.gateway.store.StoredObject
import io.skylarkstile.schema.generated.ChangedObject
import io.skylarkstile.schema.generated.StoreChanges
import io.skylarkstile.schema.recordJson
import java.net.InetSocketAddress

private val log = KotlinLogging.logger {}

/** Timeout in milliseconds, after which the store is read; an instance in the same data centre answers within a few milliseconds. */
private const val CHANGES_TIMEOUT_MS = 500L
private const val CHANGES_PATH = "/changes/"

/** Timeout of a liveness check in milliseconds; a live instance answers within it unless it is suspended. */
private const val LIVENESS_TIMEOUT_MS = 700L
private const val LIVENESS_PATH = "/alive"
private const val OK = 200
private const val NOT_FOUND = 404

/** Serves other instances at [address]: the store changes recorded in [views], and liveness checks. */
internal fun serveChanges(
    loop: EventLoop,
    address: InetSocketAddress,
    views: PeerViews,
): Channel = serveControl(loop, address) { _, path, query ->
    if (path == LIVENESS_PATH) return@serveControl ControlResponse(OK)
    val kind = StoreKind.entries.firstOrNull { path == CHANGES_PATH + it.name }
    val after = query["after"]?.firstOrNull()?.toLongOrNull()
    val changes = if (kind == null || after == null) null else views.watchOrNull(kind)?.changesAfterOrNull(after)
    if (changes == null) ControlResponse(NOT_FOUND) else ControlResponse(OK, textOf(changes))
}

/** Creates a source that fetches store changes from the instance at [address]. */
internal fun changesSourceOf(
    client: ControlClient,
    address: InetSocketAddress,
): ChangesSource = { kind, after, done ->
    client.call(address, ControlRequest(HttpMethod.GET, "$CHANGES_PATH${kind.name}?after=$after"), CHANGES_TIMEOUT_MS) { result ->
        val changes = (result as? ControlResult.Answer)?.takeIf { it.status == OK }?.let { changesOrNull(it.body) }
        if (changes == null) {
            log.event(Level.INFO, "changes-not-told", "kind" to kind.name, "after" to after, "peer" to address, "result" to "$result") {
                "could not fetch the changes of ${kind.name} from another instance"
            }
        }
        done(changes)
    }
}

/** Creates a liveness check that calls instances with [client]; any HTTP response counts as alive. */
internal fun livenessCheck(client: ControlClient) = LivenessCheck { record, done ->
    client.call(record.peers, ControlRequest(HttpMethod.GET, LIVENESS_PATH), LIVENESS_TIMEOUT_MS) { done(it is ControlResult.Answer) }
}

/** Returns [changes] in the form that is sent to other instances. */
internal fun storeChangesOf(changes: ChangesSince) =
    StoreChanges(changes.seen, changes.objects.map { ChangedObject(it.name, it.revision, it.spec) }, changes.returnInMs)

/** Returns [latest] in the form that is sent to other instances. */
internal fun storeChangesOf(latest: LatestChanges) = StoreChanges(
    latest.seen,
    latest.changes.map { ChangedObject(it.item.name, it.item.revision, it.item.spec, it.seenWith) },
    latest.returnInMs,
)

/** Returns the changes after revision [after] from the [message] of another instance. */
internal fun latestIn(
    message: StoreChanges,
    after: Long,
) = LatestChanges(
    after,
    message.seen,
    message.returnInMs,
    message.objects.map { SeenChange(it.seenWith ?: message.seen, StoredObject(it.name, it.revision, it.spec)) },
)

/** Returns the changes from the [message] of another instance. */
internal fun changesIn(message: StoreChanges) =
    ChangesSince(message.seen, message.returnInMs, message.objects.map { StoredObject(it.name, it.revision, it.spec) })

private fun textOf(changes: ChangesSince): String = recordJson.encodeToString(StoreChanges.serializer(), storeChangesOf(changes))

private fun changesOrNull(text: String): ChangesSince? = try {
    changesIn(recordJson.decodeFromString(StoreChanges.serializer(), text))
} catch (e: IllegalArgumentException) {
    log.event(Level.WARN, "changes-malformed") { e.message ?: "malformed" }
    null
}
