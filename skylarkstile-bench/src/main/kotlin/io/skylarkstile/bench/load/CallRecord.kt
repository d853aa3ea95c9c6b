/*
 * Result of one request of a run.
 */
package io.skylarkstile.bench.load

import io.skylarkstile.bench.trace.Arrival

/** Outcome of a request: [Refused] is status 429, [NotRun] any other answer that states that the request was not executed. */
enum class CallEnd { Complete, Refused, NotRun, Unknown, Wrong }

/**
 * Result of one arrival. Times are milliseconds from the intended start of the request, so that a late send counts as waiting time
 * (this avoids coordinated omission). [code] is the problem code of a response that is not complete.
 */
data class CallRecord(
    val arrival: Arrival,
    val end: CallEnd,
    val firstTokenMs: Double?,
    val totalMs: Double,
    val largestGapMs: Double,
    val tokens: Int,
    val code: String?,
)
