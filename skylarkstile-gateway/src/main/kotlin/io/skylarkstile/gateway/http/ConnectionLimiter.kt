/*
 * Bounds the connections of clients to one listener, so that descriptors remain for targets, the store and other instances. At the bound a new
 * connection takes the place of the one that has been without a request for longest.
 */
package io.skylarkstile.gateway.http

import io.netty.channel.Channel

/** One connection of a client. */
internal interface LimitedConnection {
    /** True while a request of this connection runs; then it isn't closed for another one. */
    val isServing: Boolean

    /** Closes the connection, because another one needs its place. */
    fun evict()
}

/** Keeps at most [maxConnections] connections open. Not thread-safe. */
internal class ConnectionLimiter<T : LimitedConnection>(
    private val maxConnections: Int,
    private val onEviction: () -> Unit = {},
) {
    // In the order of their last request or, without one, of their begin. Connections that have never had a request go first.
    private val unproven = LinkedHashSet<T>()
    private val proven = LinkedHashSet<T>()

    /** All open connections. */
    val all: Set<T> get() = unproven + proven

    /** Number of open connections. */
    val size: Int get() = unproven.size + proven.size

    /**
     * Adds [connection] until its [channel] is closed, and closes another one if there are too many. If all others run requests, closes [channel]
     * and returns false.
     */
    fun tryAdd(
        channel: Channel,
        connection: T,
    ): Boolean {
        if (!makeRoom()) {
            channel.close()
            return false
        }
        unproven.add(connection)
        channel.closeFuture().addListener { remove(connection) }
        return true
    }

    private fun makeRoom(): Boolean {
        if (size >= maxConnections) {
            val evicted = unproven.firstOrNull { !it.isServing } ?: proven.firstOrNull { !it.isServing } ?: return false
            onEviction()
            remove(evicted)
            evicted.evict()
        }
        return true
    }

    /** Records that a request of [connection] has been answered. */
    fun served(connection: T) {
        if (unproven.remove(connection) || proven.remove(connection)) proven.add(connection)
    }

    private fun remove(connection: T) {
        if (!unproven.remove(connection)) proven.remove(connection)
    }
}
