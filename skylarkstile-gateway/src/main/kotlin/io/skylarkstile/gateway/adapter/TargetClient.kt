/*
 * The interface through which orders reach targets; each platform integration implements its own format.
 */
package io.skylarkstile.gateway.adapter

import io.skylarkstile.gateway.model.Service
import io.skylarkstile.gateway.model.TargetEntry

/**
 * Identifies the [holder] that gives an order, its fencing [token], and the [expected] number of orders accepted before, so that the target
 * refuses a late order.
 */
data class OrderPrecondition(
    val holder: String,
    val token: Long,
    val expected: Long,
)

/** Sends orders, report requests and probes to targets; `done` receives the outcome on the event loop. */
interface TargetClient {
    /** Sends [order] to [target]. */
    fun order(
        target: TargetEntry,
        order: TargetOrder,
        precondition: OrderPrecondition,
        done: (OrderOutcome) -> Unit,
    )

    /** Checks whether [target], which runs [service], answers at all; `done` receives false if no answer arrives in time. */
    fun probe(
        target: TargetEntry,
        service: Service,
        done: (Boolean) -> Unit,
    )

    /** Requests the state of [target]; `done` receives null if it doesn't answer. */
    fun report(
        target: TargetEntry,
        done: (TargetReport?) -> Unit,
    )
}
