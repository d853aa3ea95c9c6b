/*
 * Which of the other instances were heard lately, and whose task it is to remove one that wasn't.
 */
package io.skylarkstile.gateway.membership

/** Tells of the other instances. */
interface PeerPresence {
    /** Returns when the instance [name] was last heard, or null when it wasn't. */
    fun heardAtOrNull(name: String): Long?

    /** Returns after how many others this instance may remove [name], or null when that isn't its task; [present] were heard lately. */
    fun removalTurnOrNull(
        name: String,
        present: Collection<String>,
    ): Int?
}
