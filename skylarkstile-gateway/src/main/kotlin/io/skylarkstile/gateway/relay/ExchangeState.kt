/*
 * The progress of a connection to a target through the exchange of a request and its response. It alone decides what a byte that arrives may
 * belong to, so that bytes of another response never become a part of one.
 */
package io.skylarkstile.gateway.relay

import io.netty.handler.codec.http.HttpResponse
import io.skylarkstile.gateway.model.ResponseHead
import io.skylarkstile.http.headFaultOrNull

/** Says what the next byte on a connection may belong to. */
internal sealed interface ExchangeState {
    /** No request is in flight, and no byte may arrive. */
    data object Idle : ExchangeState

    /** A request has been sent. Interim responses and responses to other calls may come before its own. */
    class AwaitingResponse(
        val listener: ResponseListener,
    ) : ExchangeState {
        /** True from the head of a response that is skipped to its end. */
        var isSkipping = false

        /** True once a response to another call has been skipped: the target responds more than once. */
        var hasSkippedResponse = false
    }

    /**
     * A refusal without a call id has arrived on a connection in use again. It may be a second response to an earlier call, so that the target
     * runs the call in flight; it isn't acted on until it is known what follows it.
     */
    class HoldingRefusal(
        val listener: ResponseListener,
        val head: ResponseHead,
        val response: HttpResponse,
    ) : ExchangeState {
        /** True once the refusal has arrived as a whole. */
        var isComplete = false
    }

    /** The response to the call in flight has begun. */
    class Responding(
        val listener: ResponseListener,
        val head: ResponseHead,
    ) : ExchangeState

    /** Nothing that is read belongs to a call any more. No other state follows. */
    data object Ended : ExchangeState
}

/** Returns why [response] can't be the head of one response, or null if it can; [head] is what was read from it. */
internal fun headFaultOrNull(
    response: HttpResponse,
    head: ResponseHead,
): String? = headFaultOrNull(response) ?: if (head.isAmbiguous) "two call ids or signatures in a head" else null
