/*
 * One call in neutral terms, as admission, placing, retries and the relay see it, whichever interface it came through.
 */
package io.skylarkstile.gateway.model

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/** What the head of a request says. [headers] are those to be passed on, without the ones that the system sets itself. */
data class CallHead(
    val id: String,
    val method: HttpMethod,
    val uri: String,
    val host: String,
    val headers: HttpHeaders,
    val key: String?,
    /** Time that the caller waits in milliseconds from the arrival; null when it doesn't say. */
    val waitMs: Long?,
    val model: String?,
    val adapter: AdapterName?,
    val promptTokens: Int,
    val outputTokens: Int,
    val hasTokens: Boolean,
    /** Last event that the caller of a resumed stream has. */
    val lastEventId: String?,
) {
    val path: String get() = uri.substringBefore('?')
}

/** What is sent with a call to one target. */
data class Dispatch(
    val targetId: String,
    val workspace: String?,
    val remainingMs: Long,
    /** 0 is the most urgent, 9 the least; null where the target has no engine. */
    val priority: Int?,
    val adapterVersion: Long?,
    val lastEventId: String?,
)

/** What the head of a target's answer says. */
data class AnswerHead(
    val status: Int,
    val callId: String?,
    /** True when the answer bears a target's signature. */
    val isSigned: Boolean,
    /** True when the target says that it did not run the call and never will. */
    val isNotRun: Boolean,
    val targetId: String?,
    /** Time for which the target keeps an idle connection open, if it says. */
    val keepAliveMs: Long?,
    val isEncoded: Boolean,
)
