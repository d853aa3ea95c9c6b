/*
 * Tells which other instances have sent messages recently, and which instances may remove a silent one.
 */
package io.skylarkstile.gateway.membership

/** Provides the last contact with other instances and the order in which instances remove a silent one. */
interface PeerContacts {
    /** Returns when the last message from the instance [name] arrived, or null if none did. */
    fun lastHeardAtOrNull(name: String): Long?

    /** Returns how many others come before this instance in removing [name], or null if it must not; [present] sent messages recently. */
    fun removalRankOrNull(
        name: String,
        present: Collection<String>,
    ): Int?
}
