/*
 * The platform's store as this system uses it. It holds only data that has to be durable or agreed on by all instances.
 */
package io.skylarkstile.gateway.store

/** Lists the kinds of objects in the store. */
enum class StoreKind { Configuration, Targets, AdapterVersions, Instances, Evacuations }

/** Holds one object; [spec] is its content as text, or null when the object was removed. */
data class StoredObject(
    val name: String,
    val revision: Long,
    val spec: String?,
)

/** Holds listed or changed objects and the store's revision at the time of the answer. */
data class StorePage(
    val objects: List<StoredObject>,
    val revision: Long,
)

/** Represents the outcome of a call to the store. */
sealed interface StoreResult<out T> {
    data class Success<T>(
        val value: T,
    ) : StoreResult<T>

    /** The condition of the write was not met. */
    data object Conflict : StoreResult<Nothing>

    /** The store no longer has the history after the given revision. */
    data object HistoryGone : StoreResult<Nothing>

    /** There was no valid answer; if [mayHaveApplied] is set, a write may have been applied nevertheless. */
    data class Failed(
        val detail: String,
        val mayHaveApplied: Boolean,
    ) : StoreResult<Nothing>
}

/** Reads and writes objects. Calls return immediately and pass their outcome to `done` on the event loop. */
interface SharedStore {
    /** Makes later calls use new connections. Called when a call had no answer, since its connection and the others may have gone silent. */
    fun renewConnections() = Unit

    /** Lists all objects of [kind]. */
    fun list(
        kind: StoreKind,
        done: (StoreResult<StorePage>) -> Unit,
    )

    /** Waits up to [waitMs] milliseconds for changes of [kind] after [revision]; without a change the page is empty. */
    fun watch(
        kind: StoreKind,
        revision: Long,
        waitMs: Long,
        done: (StoreResult<StorePage>) -> Unit,
    )

    /** Creates an object; the outcome is a conflict when it exists already. */
    fun create(
        kind: StoreKind,
        name: String,
        spec: String,
        done: (StoreResult<StoredObject>) -> Unit,
    )

    /** Replaces an object; if [revision] is given, only while it is the object's revision. */
    fun replace(
        kind: StoreKind,
        name: String,
        spec: String,
        revision: Long?,
        done: (StoreResult<StoredObject>) -> Unit,
    )

    /** Removes an object if [revision] is still its revision. */
    fun remove(
        kind: StoreKind,
        name: String,
        revision: Long,
        done: (StoreResult<Unit>) -> Unit,
    )
}
