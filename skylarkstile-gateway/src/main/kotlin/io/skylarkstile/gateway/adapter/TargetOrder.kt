/*
 * Orders to targets.
 */
package io.skylarkstile.gateway.adapter

import io.skylarkstile.gateway.model.AdapterVersion

/** One order to a target. */
sealed interface TargetOrder {
    /** Loads a base model, which a target that started anew doesn't have. Repeated, it asks whether the load has ended. */
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

    /** Asks whether a load has ended, by repeating it: an order that holds already changes nothing. */
    data class Check(
        override val adapter: AdapterVersion,
    ) : AdapterOrder
}
