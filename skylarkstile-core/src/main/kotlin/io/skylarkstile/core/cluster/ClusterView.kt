/*
 * The interface between the cluster membership and the other components of an entry instance, which own resources.
 */
package io.skylarkstile.core.cluster

import io.skylarkstile.schema.generated.Member

/** Identifies something that at most one instance owns at a time. An owner in [dataCentre] is preferred when it is given. */
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

/** Tells who owns a [Resource] from the view of this instance. */
sealed interface Ownership {
    /** This instance owns the resource and may act on it while its lease lasts. [epoch] is the fencing number. */
    data class Held(
        val epoch: Long,
    ) : Ownership

    /** This instance becomes the owner as soon as the previous owner has released the resource. */
    data object Pending : Ownership

    /** Another member owns the resource. */
    data class Elsewhere(
        val instance: String,
    ) : Ownership

    /** The resource has no owner, because the roster has no active member. */
    data object Nobody : Ownership
}

/** Gives read access to the membership. All functions are cheap and thread-safe; `now` is monotonic milliseconds. */
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

    /** Returns the handles that previous owners of [resource] still run requests on, each with its number of requests. */
    fun foreignPins(resource: Resource): Map<String, Int>
}

/** Is implemented by components that own resources. */
interface ResourceHolder {
    /** Returns the resources that the current records define, whoever owns them. */
    fun resources(): List<Resource>

    /**
     * Starts owning [resource]. It is called after the previous owner has stopped; requests of an earlier ownership may still run on this
     * instance.
     */
    fun acquired(
        resource: Resource,
        epoch: Long,
    )

    /**
     * Stops starting work under [resource]. Returns the handles still in use, each with its number of requests; it is called again until
     * the map is empty.
     */
    fun released(resource: Resource): Map<String, Int>
}
