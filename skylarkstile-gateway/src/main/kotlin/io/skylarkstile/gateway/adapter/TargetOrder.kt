/*
 * Orders that the holder of a target sends to it.
 */
package io.skylarkstile.gateway.adapter

import io.skylarkstile.gateway.model.AdapterVersion

/** One order to a target. */
sealed interface TargetOrder {
    /** Loads a base model, which a restarted target doesn't have. Repeating the order checks whether the load has ended. */
    data class LoadModel(
        val model: String,
    ) : TargetOrder
}

/** One order about an adapter. */
sealed interface AdapterOrder : TargetOrder {
    val adapter: AdapterVersion

    data class Load(
        override val adapter: AdapterVersion,
    ) : AdapterOrder

    data class Unload(
        override val adapter: AdapterVersion,
    ) : AdapterOrder

    /** Checks whether a load has ended by repeating the load order, which has no effect on a loaded adapter. */
    data class Check(
        override val adapter: AdapterVersion,
    ) : AdapterOrder
}
