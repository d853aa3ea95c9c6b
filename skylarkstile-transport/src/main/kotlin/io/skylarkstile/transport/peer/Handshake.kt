/*
 * The first exchange on a link: who is there, under which incarnation, and which protocol version both sides can use.
 */
package io.skylarkstile.transport.peer

import io.skylarkstile.schema.generated.Envelope
import io.skylarkstile.schema.generated.Hello
import io.skylarkstile.schema.generated.HelloReply
import java.util.concurrent.ConcurrentHashMap

internal val helloKind = MessageKind("Hello", Hello.serializer())
internal val helloReplyKind = MessageKind("HelloReply", HelloReply.serializer())

/** Names this process on its links. */
internal data class Identity(
    val self: String,
    val cluster: String,
    val incarnation: Long,
    val versions: List<Int>,
) {
    fun hello() = Hello(versions = versions, cluster = cluster, instance = self, incarnation = incarnation)
}

/** Remembers the newest incarnation of each instance. */
internal class Incarnations {
    private val newest = ConcurrentHashMap<String, Long>()

    /** Notes [incarnation]; returns false when a newer one is known. */
    fun admit(
        instance: String,
        incarnation: Long,
    ): Boolean = newest.merge(instance, incarnation, ::maxOf) == incarnation
}

/** Decides on [hello] at the accepting side. A reply with `refused` ends the link. */
internal fun replyTo(
    hello: Hello,
    identity: Identity,
    incarnations: Incarnations,
): HelloReply {
    val version = hello.versions.filter { it in identity.versions }.maxOrNull()
    val refused =
        when {
            hello.cluster != identity.cluster -> "this is cluster ${identity.cluster}, not ${hello.cluster}"
            version == null -> "no common version: ${hello.versions} and ${identity.versions}"
            hello.instance == identity.self -> "an instance with the name ${identity.self} is this one"
            !incarnations.admit(hello.instance, hello.incarnation) -> "incarnation ${hello.incarnation} of ${hello.instance} is over"
            else -> null
        }
    return HelloReply(instance = identity.self, incarnation = identity.incarnation, version = version, refused = refused)
}

/** Checks [reply] at the dialling side; [peer] is the expected instance or a seed. Returns what is wrong, or `null`. */
internal fun findingOrNull(
    peer: String,
    reply: HelloReply,
    identity: Identity,
    incarnations: Incarnations,
): String? = when {
    reply.refused != null -> "refused: ${reply.refused}"
    reply.version !in identity.versions -> "version ${reply.version} was not offered"
    reply.instance != peer && !peer.startsWith(SEED_PREFIX) -> "instance ${reply.instance} answers instead of $peer"
    !incarnations.admit(reply.instance, reply.incarnation) -> "incarnation ${reply.incarnation} of ${reply.instance} is over"
    else -> null
}

/** Returns the body of [envelope] as a message of [kind], or throws a [LinkFault]. */
internal fun <T> expect(
    kind: MessageKind<T>,
    envelope: Envelope,
): T {
    if (envelope.kind != kind.name) throw LinkFault("${envelope.kind} instead of ${kind.name}")
    return decodeOrFault(kind.serializer, envelope.body)
}
