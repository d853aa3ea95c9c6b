/*
 * Decides whether the connections to a server may carry more than one exchange. A server that has sent bytes beside a response may do so with
 * each of its responses, and a whole extra response that arrives after the next request can't always be told from the response to it.
 */
package io.skylarkstile.http

/**
 * Time without reuse of connections after a server has sent bytes that belong to no exchange, in milliseconds. It grows each further time, and
 * begins again after the longest time without such bytes.
 */
private const val FIRST_NO_REUSE_MS = 15_000L
private const val LONGEST_NO_REUSE_MS = 600_000L
private const val NO_REUSE_GROWTH = 4L

/** Tracks what one server has sent beside its responses. Not thread-safe. */
class ConnectionReuse {
    private var noReuseMs = FIRST_NO_REUSE_MS
    private var reusableFrom = NEVER

    /** Returns whether a connection may be used for a further exchange. */
    fun isPermitted(now: Long): Boolean = now >= reusableFrom

    /**
     * Records that the server has sent bytes that belong to no exchange, and returns for how long its connections aren't used again, in
     * milliseconds.
     */
    fun recordForeignBytes(now: Long): Long {
        if (now >= reusableFrom) {
            if (now - reusableFrom > LONGEST_NO_REUSE_MS) noReuseMs = FIRST_NO_REUSE_MS
            reusableFrom = now + noReuseMs
            noReuseMs = minOf(noReuseMs * NO_REUSE_GROWTH, LONGEST_NO_REUSE_MS)
        }
        return reusableFrom - now
    }

    private companion object {
        /** Far enough in the past, without an overflow when times are added. */
        const val NEVER = Long.MIN_VALUE / 2
    }
}
