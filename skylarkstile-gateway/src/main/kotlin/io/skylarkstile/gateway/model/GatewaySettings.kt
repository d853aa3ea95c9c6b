/*
 * The settings of an instance: its name and location, its addresses, and the limits that its decisions have to meet.
 */
package io.skylarkstile.gateway.model

import java.net.InetSocketAddress

/** Describes one instance. All addresses except [storeAddress] are those that the instance listens on. */
data class GatewaySettings(
    val instance: String,
    val dataCentre: String,
    val callerListener: InetSocketAddress,
    val readinessListener: InetSocketAddress,
    val directoryListener: InetSocketAddress,
    val peerListener: InetSocketAddress,
    val storeAddress: InetSocketAddress,
    /** Address that serves metrics and the state dump. */
    val operatorListener: InetSocketAddress,
    val bounds: DeploymentLimits,
    /** Bandwidth of the instance's network link in Mbit/s; 0 if unknown. */
    val linkMbps: Int = 0,
    /** Names of all data centres of the deployment; empty if unknown. */
    val dataCentres: Set<String> = emptySet(),
    val connections: ConnectionLimits = connectionLimits(DEFAULT_DESCRIPTORS),
)

/** Limits the connections of clients to one address of an instance; at the limit, a new one takes the place of an idle one. */
data class ConnectionLimits(
    val callers: Int,
    /** For each of the other addresses that clients reach. */
    val control: Int,
)

/** Descriptors of an instance whose settings don't say how many it has. */
const val DEFAULT_DESCRIPTORS = 4_096

/** Descriptors that are kept for files. */
private const val FILE_DESCRIPTORS = 200

/** Shares of the remaining descriptors: callers, and each of two other addresses. The rest is for targets, the store and other instances. */
private const val CALLER_SHARE = 0.5
private const val CONTROL_SHARE = 0.1
private const val MIN_CONNECTIONS = 16

/** Derives the limits of an instance that may open [descriptors] files and sockets. */
fun connectionLimits(descriptors: Int): ConnectionLimits {
    val sockets = descriptors - FILE_DESCRIPTORS
    return ConnectionLimits(
        maxOf(MIN_CONNECTIONS, (sockets * CALLER_SHARE).toInt()),
        maxOf(MIN_CONNECTIONS, (sockets * CONTROL_SHARE).toInt()),
    )
}

/** Limits that the deployment sets. Times are in milliseconds. */
data class DeploymentLimits(
    /** Maximum time from the store accepting that a target drains until the target gets no new requests. */
    val drainMs: Long,
    /** Time from the request to stop until the process is killed. */
    val graceMs: Long,
    /** Maximum time for which a revoked key is still accepted. */
    val revokeMs: Long,
    /** Time that must pass between the orders of two different holders to one target. */
    val leaseMs: Long,
    /** Retries sent to targets are limited to this share of requests, plus [retrySlack], in each [retryWindowMs]. */
    val retryRatio: Double,
    val retrySlack: Double,
    val retryWindowMs: Long,
    /** Over [quotaWindowMs], a workspace may exceed its rate and burst by [quotaOverage] of them and [quotaSlack] tokens. */
    val quotaOverage: Double,
    val quotaSlack: Double,
    val quotaWindowMs: Long,
    /** Maximum time for which callers may cache resolved addresses. */
    val addressTtlMs: Long,
    /**
     * Maximum time from the store accepting the evacuation of a data centre until its targets get no new requests; null if data centres
     * aren't evacuated.
     */
    val evacuationMs: Long? = null,
)
