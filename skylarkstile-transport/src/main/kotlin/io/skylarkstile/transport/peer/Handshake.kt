/*
 * First exchange on a link: both sides tell their instance name and incarnation and agree on a protocol version.
 */
package io.skylarkstile.transport.peer

import io.skylarkstile.schema.generated.Envelope
import io.skylarkstile.schema.generated.Hello
import io.skylarkstile.schema.generated.HelloReply
import java.util.concurrent.ConcurrentHashMap

internal val helloKind = MessageKind("Hello", Hello.serializer())
internal val helloReplyKind = MessageKind("HelloReply", HelloReply.serializer())

/** Identifies this process on its links. */
internal data class PeerIdentity(
    val self: String,
    val cluster: String,
    val incarnation: Long,
    val versions: List<Int>,
) {
    fun hello() = Hello(versions = versions, cluster = cluster, instance = self, incarnation = incarnation)
}

/** Keeps the newest known incarnation of each instance. */
internal class IncarnationRegistry {
    private val newest = ConcurrentHashMap<String, Long>()

    /** Records [incarnation]; returns `false` when a newer one is known. */
    fun tryAdvance(
        instance: String,
        incarnation: Long,
    ): Boolean = newest.merge(instance, incarnation, ::maxOf) == incarnation
}

/** Creates the accepting side's reply to [hello]. A reply with `refused` ends the link. */
internal fun replyTo(
    hello: Hello,
    identity: PeerIdentity,
    incarnations: IncarnationRegistry,
): HelloReply {
    val version = hello.versions.filter { it in identity.versions }.maxOrNull()
    val refused =
        when {
            hello.cluster != identity.cluster -> "this is an instance of cluster ${identity.cluster}, not ${hello.cluster}"
            version == null -> "no common protocol version: ${hello.versions} and ${identity.versions}"
            hello.instance == identity.self -> "${identity.self} is the name of this instance"
            !incarnations.tryAdvance(
                hello.instance,
                hello.incarnation,
            ) -> "incarnation ${hello.incarnation} of ${hello.instance} is outdated"
            else -> null
        }
    return HelloReply(instance = identity.self, incarnation = identity.incarnation, version = version, refused = refused)
}

/** Checks [reply] at the connecting side; [peer] is the expected instance or a seed. Returns the problem, or `null`. */
internal fun replyProblemOrNull(
    peer: String,
    reply: HelloReply,
    identity: PeerIdentity,
    incarnations: IncarnationRegistry,
): String? = when {
    reply.refused != null -> "refused: ${reply.refused}"
    reply.version !in identity.versions -> "protocol version ${reply.version} was not offered"
    reply.instance != peer && !peer.startsWith(SEED_PREFIX) -> "instance ${reply.instance} replied instead of $peer"
    !incarnations.tryAdvance(reply.instance, reply.incarnation) -> "incarnation ${reply.incarnation} of ${reply.instance} is outdated"
    else -> null
}

/** Returns the body of [envelope] as a message of [kind], or throws a [LinkException]. */
internal fun <T> expect(
    kind: MessageKind<T>,
    envelope: Envelope,
): T {
    if (envelope.kind != kind.name) throw LinkException("received ${envelope.kind} instead of ${kind.name}")
    return decodeOrThrow(kind.serializer, envelope.body)
}
