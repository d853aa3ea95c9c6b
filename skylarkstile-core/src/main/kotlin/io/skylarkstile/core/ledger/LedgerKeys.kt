/*
 * The keys that a range knows, and the state of each.
 */
package io.skylarkstile.core.ledger

import io.skylarkstile.schema.generated.LedgerEntry

/**
 * State of one key in the memory of the range's owner.
 *
 * `WAITING` (intent not recorded) -> `RUNNING` (intent recorded, call made) -> `DONE`, `UNKNOWN` or `NOT_RUN`. A key in `NOT_RUN` may
 * become `WAITING` again. A key loaded from the platform is `DONE`, `UNKNOWN` (an intent) or `NOT_RUN`.
 */
internal enum class KeyState { WAITING, RUNNING, DONE, UNKNOWN, NOT_RUN }

/** Holds the state of one idempotency [key]. [bodyHash] identifies the request, and [at] is the time of day of the call in milliseconds. */
internal class KnownKey(
    val key: String,
    var bodyHash: String,
    var at: Long,
    var state: KeyState,
) {
    /** Attempts that wait for the outcome; the first one makes the call. */
    val attempts = ArrayDeque<Long>()
    var status: Int? = null
    var contentType: String? = null
    var body: String? = null

    /** Converts the present state to the entry that records it. */
    fun toLedgerEntry(): LedgerEntry = when (state) {
        KeyState.DONE -> LedgerEntry(key, bodyHash, at, LedgerEntry.State.Done, status, contentType, body)
        KeyState.NOT_RUN -> LedgerEntry(key, bodyHash, at, LedgerEntry.State.NotRun)
        else -> LedgerEntry(key, bodyHash, at, LedgerEntry.State.Intent)
    }
}

/** Converts a recorded entry. An intent without an outcome becomes `UNKNOWN`, since the call may have been made. */
internal fun LedgerEntry.toKnownKey(): KnownKey {
    val loaded =
        when (state) {
            LedgerEntry.State.Done -> KeyState.DONE
            LedgerEntry.State.NotRun -> KeyState.NOT_RUN
            LedgerEntry.State.Intent -> KeyState.UNKNOWN
        }
    return KnownKey(key, bodyHash, at, loaded).also {
        it.status = status
        it.contentType = contentType
        it.body = body
    }
}

/** Estimates the JSON size of an entry in bytes: a constant for names and numbers, and the lengths of the variable parts. */
internal fun LedgerEntry.estimatedBytes(): Int = 120 + key.length + bodyHash.length + (contentType?.length ?: 0) * 2 + (body?.length ?: 0)
