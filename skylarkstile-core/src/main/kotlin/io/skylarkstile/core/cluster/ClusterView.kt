/*
 * What the other parts of an entry instance may ask of the membership.
 */
package io.skylarkstile.core.cluster

import io.skylarkstile.schema.generated.Member

/** Something that exactly one instance owns at a time. [dataCentre] is preferred for the owner when it is given. */
data class Resource(
    val key: String,
    val dataCentre: String? = null,
)

/** Creates the resource of a target. */
fun targetResource(
    target: String,
    dataCentre: String,
): Resource = Resource("target/$target", dataCentre)

/** Creates the resource of a ledger range. */
fun ledgerResource(range: Int): Resource = Resource("ledger/$range")

/** The resource of the fleet-wide load budget. */
val loadBudgetResource: Resource = Resource("load-budget")

/** Tells what an instance may do with a [Resource] at one moment. */
sealed interface Ownership {
    /** This instance owns the resource and may act on it while its lease lasts. [epoch] is the fencing number. */
    data class Held(
        val epoch: Long,
    ) : Ownership

    /** This instance will own the resource when the previous owner has released it. */
    data object Pending : Ownership

    /** Another member owns the resource. */
    data class Elsewhere(
        val instance: String,
    ) : Ownership

    /** There is no active member. */
    data object Nobody : Ownership
}

/** Answers questions about membership. All functions are cheap and may be called from any thread; `now` is monotonic milliseconds. */
interface ClusterView {
    val self: String

    /** Returns the members of the newest known roster. */
    fun members(): List<Member>

    fun rosterRevision(): Long

    /** Returns whether this instance is an active member of the roster. */
    fun isActive(): Boolean

    /** Returns the remaining lease in milliseconds; 0 without a lease. */
    fun leaseRemaining(now: Long): Long

    fun ownership(
        resource: Resource,
        now: Long,
    ): Ownership

    /** Returns the handles that a previous owner of [resource] still runs requests on, with counts. */
    fun foreignPins(resource: Resource): Map<String, Int>
}

/** Is implemented by the parts that own resources. */
interface ResourceHolder {
    /** Returns the resources that could be owned now, from the current records. */
    fun resources(): List<Resource>

    /** Starts owning [resource]. Called after the previous owner has stopped; requests of an earlier ownership may still run here. */
    fun acquired(
        resource: Resource,
        epoch: Long,
    )

    /** Stops starting work under [resource]; returns the handles still in use with counts. Called again until the map is empty. */
    fun released(resource: Resource): Map<String, Int>
}
