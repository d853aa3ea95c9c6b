/*
 * Rendezvous hashing: every member computes the same owner of a key from the same roster, and a change of one member moves only its keys.
 */
package io.skylarkstile.core.cluster

import io.skylarkstile.schema.generated.Member
import io.skylarkstile.schema.generated.Roster

private const val FNV_OFFSET = -3750763034362895579L
private const val FNV_PRIME = 1099511628211L

/** Returns a hash of [text] that is the same on all instances: FNV-1a, with a final mixing step that spreads texts with a common prefix. */
fun stableHash(text: String): Long {
    var h = FNV_OFFSET
    for (b in text.encodeToByteArray()) h = (h xor (b.toLong() and 0xff)) * FNV_PRIME
    return mixed(h)
}

/** Returns a hash of two texts with the hashes [a] and [b], the same in every process, without reading the texts again. */
fun combinedHash(
    a: Long,
    b: Long,
): Long = mixed(a * FNV_PRIME + b)

private fun mixed(hash: Long): Long {
    var h = hash
    h = (h xor (h ushr 33)) * -49064778989728563L
    h = (h xor (h ushr 33)) * -4265267296055464877L
    return h xor (h ushr 33)
}

/** Returns a number from 0 to 1 for [text], the same in every process. */
fun stableFraction(text: String): Double = (stableHash(text) ushr 1).toDouble() / Long.MAX_VALUE

/** Returns the active members in the order in which they are preferred as owner of [resource]: those in its data centre first. */
fun Roster.ranked(resource: Resource): List<Member> = members
    .filter { it.state == Member.State.Active }
    .sortedWith(
        compareBy({ resource.dataCentre != null && it.dataCentre != resource.dataCentre }, { score(it, resource) }, { it.instance }),
    )

/** Returns the active member that owns [resource], or null without active members. */
fun Roster.ownerOrNull(resource: Resource): Member? = members
    .filter { it.state == Member.State.Active }
    .minWithOrNull(
        compareBy({ resource.dataCentre != null && it.dataCentre != resource.dataCentre }, { score(it, resource) }, { it.instance }),
    )

private fun score(
    member: Member,
    resource: Resource,
) = stableHash("${resource.key}|${member.instance}")
