/*
 * The platform's store as this system uses it. What has to last or to be agreed on lies there; nothing else does.
 */
package io.skylarkstile.gateway.store

/** Kinds of objects. */
enum class StoreKind { Configuration, Targets, AdapterVersions, Instances }

/** One object; [spec] is its content as text, null where it was removed. */
data class StoredObject(
    val name: String,
    val revision: Long,
    val spec: String?,
)

/** Objects or changes, with the store's revision at that moment. */
data class StorePage(
    val objects: List<StoredObject>,
    val revision: Long,
)

/** Outcome of a call. */
sealed interface StoreResult<out T> {
    data class Success<T>(
        val value: T,
    ) : StoreResult<T>

    /** The condition did not hold. */
    data object Conflict : StoreResult<Nothing>

    /** The history after the given revision is gone. */
    data object HistoryGone : StoreResult<Nothing>

    /** No usable answer; a write may have been applied when [mayHaveApplied] is set. */
    data class Failed(
        val detail: String,
        val mayHaveApplied: Boolean,
    ) : StoreResult<Nothing>
}

/** Reads and writes objects. Calls return at once; their outcome is handed to `done` on the event loop. */
interface SharedStore {
    /** Lists all objects of [kind]. */
    fun list(
        kind: StoreKind,
        done: (StoreResult<StorePage>) -> Unit,
    )

    /** Waits up to [waitMs] milliseconds for changes of [kind] after [revision]; the page is empty when there were none. */
    fun watch(
        kind: StoreKind,
        revision: Long,
        waitMs: Long,
        done: (StoreResult<StorePage>) -> Unit,
    )

    /** Creates an object; a conflict means that it is there already. */
    fun create(
        kind: StoreKind,
        name: String,
        spec: String,
        done: (StoreResult<StoredObject>) -> Unit,
    )

    /** Replaces an object; with [revision] only while that is its revision. */
    fun replace(
        kind: StoreKind,
        name: String,
        spec: String,
        revision: Long?,
        done: (StoreResult<StoredObject>) -> Unit,
    )

    /** Removes an object while [revision] is its revision. */
    fun remove(
        kind: StoreKind,
        name: String,
        revision: Long,
        done: (StoreResult<Unit>) -> Unit,
    )
}
