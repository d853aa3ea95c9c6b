/*
 * How orders reach a target; an interface to a platform brings its own spelling.
 */
package io.skylarkstile.gateway.adapter

import io.skylarkstile.gateway.model.Service
import io.skylarkstile.gateway.model.TargetEntry

/** Who gives an order, and after how many accepted ones it may be carried out, so that a late one is refused. */
data class OrderStamp(
    val holder: String,
    val token: Long,
    val expected: Long,
)

/** Sends orders, reports and probes; outcomes are handed to `done` on the event loop. */
interface TargetOrders {
    fun order(
        target: TargetEntry,
        order: TargetOrder,
        stamp: OrderStamp,
        done: (OrderOutcome) -> Unit,
    )

    /** Asks [target], which runs [service], for any answer; false when none comes soon. */
    fun probe(
        target: TargetEntry,
        service: Service,
        done: (Boolean) -> Unit,
    )

    /** Asks what [target] holds; null when it doesn't answer. */
    fun report(
        target: TargetEntry,
        done: (TargetReport?) -> Unit,
    )
}
