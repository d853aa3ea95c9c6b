/*
 * UDP datagrams between instances, encoded in CBOR. Without connections, a silent peer costs nothing and a returning one is received at once;
 * no datagram needs reliable delivery.
 */
package io.skylarkstile.gateway.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import io.skylarkstile.config.log.event
import io.skylarkstile.gateway.main.Scheduler
import io.skylarkstile.schema.generated.GatewayDatagram
import kotlinx.serialization.SerializationException
import java.net.InetSocketAddress

private val log = KotlinLogging.logger {}

/** Maximum size of a datagram, in bytes; a larger one is logged and not sent. */
private const val MAX_DATAGRAM_BYTES = 60_000

/** Sends and receives datagrams at one address over a link of [linkMbps] Mbit/s (0: unknown). Runs on the event loop. */
class PeerSocket(
    linkMbps: Int,
    scheduler: Scheduler,
    private val receive: (GatewayDatagram) -> Unit,
) {
    private val codec = DatagramCodec()
    private val pacedSends = PacedSends(linkMbps, scheduler, ::write)
    private lateinit var channel: Channel

    /** Binds to [address]. */
    fun bind(
        loop: EventLoop,
        address: InetSocketAddress,
    ) {
        val bootstrap =
            Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel::class.java)
                .option(ChannelOption.RECVBUF_ALLOCATOR, FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                .handler(Receiver())
        channel = bootstrap.bind(address).sync().channel()
    }

    /** Sends [datagram] to each of [receivers]. Reports are large and repeated, so they are paced; all else is sent at once. */
    fun send(
        datagram: GatewayDatagram,
        receivers: Collection<InetSocketAddress>,
    ) {
        if (receivers.isEmpty()) return
        val bytes = codec.encode(datagram)
        if (bytes.size > MAX_DATAGRAM_BYTES) {
            log.event(Level.WARN, "datagram-too-large", "bytes" to bytes.size) { "datagram exceeds the maximum size, not sent" }
            return
        }
        val kind = reportKindOrNull(datagram)
        if (kind == null) receivers.forEach { write(bytes, it) } else pacedSends.send(kind, bytes, receivers)
    }

    private fun write(
        bytes: ByteArray,
        receiver: InetSocketAddress,
    ) {
        channel.writeAndFlush(DatagramPacket(Unpooled.wrappedBuffer(bytes), receiver))
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(
            ctx: ChannelHandlerContext,
            packet: DatagramPacket,
        ) {
            try {
                receive(codec.decode(ByteBufUtil.getBytes(packet.content())))
            } catch (e: SerializationException) {
                log.event(Level.WARN, "datagram-malformed", "sender" to packet.sender()) { e.message ?: "malformed" }
            } catch (e: IllegalArgumentException) {
                log.event(Level.WARN, "datagram-malformed", "sender" to packet.sender()) { e.message ?: "malformed" }
            }
        }

        override fun exceptionCaught(
            ctx: ChannelHandlerContext,
            cause: Throwable,
        ) {
            log.event(Level.DEBUG, "datagram-socket-failed") { cause.message ?: "failed" }
        }
    }
}

/** Returns the kind of report in [datagram], or null when it contains no report and is sent without pacing. */
internal fun reportKindOrNull(datagram: GatewayDatagram): String? = when {
    datagram.fleetReport != null -> "fleet"
    datagram.groupReport != null -> "group"
    else -> null
}
