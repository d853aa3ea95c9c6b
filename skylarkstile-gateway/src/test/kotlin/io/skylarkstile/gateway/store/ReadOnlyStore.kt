package io.skylarkstile.gateway.store

/** Base of test stores that support only lists and watches; a write fails the test. */
abstract class ReadOnlyStore : SharedStore {
    override fun create(
        kind: StoreKind,
        name: String,
        spec: String,
        done: (StoreResult<StoredObject>) -> Unit,
    ) = error("unexpected create of $name")

    override fun replace(
        kind: StoreKind,
        name: String,
        spec: String,
        revision: Long?,
        done: (StoreResult<StoredObject>) -> Unit,
    ) = error("unexpected replace of $name")

    override fun remove(
        kind: StoreKind,
        name: String,
        revision: Long,
        done: (StoreResult<Unit>) -> Unit,
    ) = error("unexpected removal of $name")
}
