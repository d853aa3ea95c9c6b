/*
 * What one request of a run met with.
 */
package io.skylarkstile.bench.load

import io.skylarkstile.bench.trace.Arrival

/** How a request ended. */
enum class CallEnd { Complete, Refused, NotRun, Unknown, Wrong }

/**
 * The result of one arrival. Times are milliseconds from the intended start of the request, so a late send counts as waiting
 * (no coordinated omission). [code] is the problem's code for an answer that is not complete.
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
