/*
 * What one instance is told at its start: who it is, where it listens, and the bounds that its decisions have to keep.
 */
package io.skylarkstile.gateway.model

import java.net.InetSocketAddress

/** Describes one instance. Addresses are those of this instance but for [store]. */
data class GatewaySettings(
    val instance: String,
    val dataCentre: String,
    val callers: InetSocketAddress,
    val readiness: InetSocketAddress,
    val directory: InetSocketAddress,
    val peers: InetSocketAddress,
    val store: InetSocketAddress,
    /** Where operators read metrics and the state dump. */
    val operators: InetSocketAddress,
    val bounds: Bounds,
    /** Bandwidth of the machine's link in Mbit/s, 0 when unknown. */
    val linkMbps: Int = 0,
)

/** Bounds that the deployment sets. Times are in milliseconds. */
data class Bounds(
    /** A target that leaves gets no new request later than this after the store has accepted the news. */
    val drainMs: Long,
    /** Time between the request to stop and the kill. */
    val graceMs: Long,
    /** A withdrawn key works at most this long. */
    val revokeMs: Long,
    /** Two holders never order one target within this time. */
    val leaseMs: Long,
    /** Repeated arrivals at targets are at most this share of requests, plus [retrySlack], in each [retryWindowMs]. */
    val retryRatio: Double,
    val retrySlack: Double,
    val retryWindowMs: Long,
    /** Over [quotaWindowMs], a workspace may exceed its rate and burst by [quotaOverage] of them and [quotaSlack] tokens. */
    val quotaOverage: Double,
    val quotaSlack: Double,
    val quotaWindowMs: Long,
    /** Callers keep an address answer at most this long. */
    val addressTtlMs: Long,
)
