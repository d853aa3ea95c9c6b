/*
 * Stubs of a target interface without orders and of a fleet without adapters, for tests of other parts.
 */
package io.skylarkstile.gateway.adapter

import io.skylarkstile.gateway.model.AdapterName
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.model.Service
import io.skylarkstile.gateway.model.TargetEntry
import io.skylarkstile.gateway.target.TargetState

/** Ignores all orders, probes and report requests; `done` is never called. */
object NoTargetClient : TargetClient {
    override fun order(
        target: TargetEntry,
        order: TargetOrder,
        precondition: OrderPrecondition,
        done: (OrderOutcome) -> Unit,
    ) = Unit

    override fun probe(
        target: TargetEntry,
        service: Service,
        done: (Boolean) -> Unit,
    ) = Unit

    override fun report(
        target: TargetEntry,
        done: (TargetReport?) -> Unit,
    ) = Unit
}

/** A fleet without adapter slots. */
object NoAdapterFleet : FleetView {
    override fun isInUse(
        target: TargetState,
        adapter: AdapterVersion,
    ) = false

    override fun currentVersion(name: AdapterName) = AdapterVersion(name, 1)

    override fun missingModelOrNull(
        target: TargetState,
        held: Set<String>,
    ): String? = null

    override fun maxModelLoads(service: String) = 1

    override fun adapterCapacity(
        service: String,
        held: Set<String>,
    ) = 0

    override fun hasAdapters(service: String) = false
}
