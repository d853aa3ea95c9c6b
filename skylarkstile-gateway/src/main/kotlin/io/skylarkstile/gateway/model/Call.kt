/*
 * The model of a call that admission, placement, retries and the relay work on, independent of the external interface.
 */
package io.skylarkstile.gateway.model

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/** Holds the head of a request. [headers] are the ones to forward, without those that the gateway sets itself. */
data class CallHead(
    val id: String,
    val method: HttpMethod,
    val uri: String,
    val host: String,
    val headers: HttpHeaders,
    val key: String?,
    /** Time in milliseconds from the arrival that the caller is willing to wait; null if not given. */
    val deadlineMs: Long?,
    val model: String?,
    val adapter: AdapterName?,
    val promptTokens: Int,
    val outputTokens: Int,
    val hasTokens: Boolean,
    /** Id of the last event that the caller of a resumed stream has received. */
    val lastEventId: String?,
    /** Ids of the parts of the prompt that other calls may share, in order; the last part, which is the call's own, isn't among them. */
    val sharedParts: List<String> = emptyList(),
) {
    val path: String get() = uri.substringBefore('?')
}

/** Holds what the gateway adds to a call that it sends to a target. */
data class Dispatch(
    val targetId: String,
    val workspace: String?,
    val remainingMs: Long,
    /** 0 is the most urgent, 9 the least; null if the service has no engine. */
    val priority: Int?,
    val adapterVersion: Long?,
    val lastEventId: String?,
)

/** Holds the head of a target's response. */
data class ResponseHead(
    val status: Int,
    val callId: String?,
    /** True when the response has a target's signature. */
    val isSigned: Boolean,
    /** True when the target states that it did not execute the call and never will. */
    val isNotExecuted: Boolean,
    val targetId: String?,
    /** Time in milliseconds for which the target keeps an idle connection open, if given. */
    val keepAliveMs: Long?,
    val hasContentEncoding: Boolean,
    /** True when the head has more than one call id or signature, so that it isn't that of one response. */
    val isAmbiguous: Boolean = false,
    /** True when the body has neither a length nor chunks, so that it ends with the connection. */
    val endsWithConnection: Boolean = false,
    /** Limit that the target names for calls of all instances together. */
    val namedLimit: NamedLimit = NamedLimit.None,
    /** True when the target says that it leaves and wants no further calls. */
    val isTargetLeaving: Boolean = false,
    /** Time in milliseconds for which a refusing target wants no calls of this instance, if given. */
    val pauseMs: Long? = null,
    /** Time in milliseconds for which the target is still cold, if it says so. */
    val coldMs: Long? = null,
    /** True when the target says something of itself that makes no sense, which is ignored. */
    val hasMalformedStatement: Boolean = false,
)
