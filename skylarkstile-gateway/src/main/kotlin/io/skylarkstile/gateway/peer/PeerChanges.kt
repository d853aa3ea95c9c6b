/*
 * What instances ask each other over HTTP: changes of the store, which can be larger than a datagram and have to arrive, and whether one
 * that is silent lives.
 */
package io.skylarkstile.gateway.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.netty.channel.Channel
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpMethod
import io.skylarkstile.config.log.event
import io.skylarkstile.gateway.http.ControlAnswer
import io.skylarkstile.gateway.http.ControlClient
import io.skylarkstile.gateway.http.ControlRequest
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

/** An instance in the same data centre answers within some milliseconds; after this time the store is asked. */
private const val CALL_MS = 500L
private const val PATH = "/changes/"

/** A live instance answers within this time unless it stands still, in milliseconds. */
private const val LIVENESS_MS = 700L
private const val LIVENESS_PATH = "/alive"
private const val OK = 200
private const val NOT_FOUND = 404

/** Answers other instances at [address]: with the changes that [views] know, and that this one lives. */
internal fun serveChanges(
    loop: EventLoop,
    address: InetSocketAddress,
    views: PeerViews,
): Channel = serveControl(loop, address) { _, path, query ->
    if (path == LIVENESS_PATH) return@serveControl ControlAnswer(OK)
    val kind = StoreKind.entries.firstOrNull { path == PATH + it.name }
    val after = query["after"]?.firstOrNull()?.toLongOrNull()
    val changes = if (kind == null || after == null) null else views.watchOrNull(kind)?.changesAfterOrNull(after)
    if (changes == null) ControlAnswer(NOT_FOUND) else ControlAnswer(OK, textOf(changes))
}

/** Creates the source of the changes that the instance at [address] knows. */
internal fun changesOf(
    client: ControlClient,
    address: InetSocketAddress,
): ChangesSource = { kind, after, done ->
    client.call(address, ControlRequest(HttpMethod.GET, "$PATH${kind.name}?after=$after"), CALL_MS) { result ->
        val changes = (result as? ControlResult.Answer)?.takeIf { it.status == OK }?.let { changesOrNull(it.body) }
        if (changes == null) {
            log.event(Level.INFO, "changes-not-told", "kind" to kind.name, "after" to after, "peer" to address, "result" to "$result") {
                "another instance could not tell the changes of ${kind.name}"
            }
        }
        done(changes)
    }
}

/** Creates the check that asks instances with [client] whether they live; any answer says so. */
internal fun livenessOver(client: ControlClient) = LivenessCheck { record, done ->
    client.call(record.peers, ControlRequest(HttpMethod.GET, LIVENESS_PATH), LIVENESS_MS) { done(it is ControlResult.Answer) }
}

/** Returns [changes] as one instance tells them to another. */
internal fun toldOf(changes: ChangesSince) =
    StoreChanges(changes.seen, changes.objects.map { ChangedObject(it.name, it.revision, it.spec) }, changes.returnInMs)

/** Returns [latest] as one instance tells them to another. */
internal fun toldOf(latest: LatestChanges) = StoreChanges(
    latest.seen,
    latest.changes.map { ChangedObject(it.item.name, it.item.revision, it.item.spec, it.seenWith) },
    latest.returnInMs,
)

/** Returns the changes after revision [after] that another instance has [told]. */
internal fun latestIn(
    told: StoreChanges,
    after: Long,
) = LatestChanges(
    after,
    told.seen,
    told.returnInMs,
    told.objects.map { SeenChange(it.seenWith ?: told.seen, StoredObject(it.name, it.revision, it.spec)) },
)

/** Returns the changes that another instance has [told]. */
internal fun changesIn(told: StoreChanges) =
    ChangesSince(told.seen, told.returnInMs, told.objects.map { StoredObject(it.name, it.revision, it.spec) })

private fun textOf(changes: ChangesSince): String = recordJson.encodeToString(StoreChanges.serializer(), toldOf(changes))

private fun changesOrNull(text: String): ChangesSince? = try {
    changesIn(recordJson.decodeFromString(StoreChanges.serializer(), text))
} catch (e: IllegalArgumentException) {
    log.event(Level.WARN, "changes-malformed") { e.message ?: "malformed" }
    null
}
