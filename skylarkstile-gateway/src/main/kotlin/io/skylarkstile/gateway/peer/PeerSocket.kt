/*
 * Datagrams between instances, coded in CBOR. They need no connections, so a peer that went silent costs nothing and one that returns is
 * heard at once; nothing in them has to arrive.
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
import io.skylarkstile.schema.generated.GatewayDatagram
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import java.net.InetSocketAddress

private val log = KotlinLogging.logger {}

/** Largest datagram; a state that grows beyond it is not sent. */
private const val MAX_DATAGRAM_BYTES = 60_000

/** Sends and receives datagrams at one address; runs on the event loop. */
@OptIn(ExperimentalSerializationApi::class)
class PeerSocket(
    private val receive: (GatewayDatagram) -> Unit,
) {
    private val cbor = Cbor { ignoreUnknownKeys = true }
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

    /** Sends [datagram] to each of [receivers]. */
    fun send(
        datagram: GatewayDatagram,
        receivers: Collection<InetSocketAddress>,
    ) {
        if (receivers.isEmpty()) return
        val bytes = cbor.encodeToByteArray(GatewayDatagram.serializer(), datagram)
        if (bytes.size > MAX_DATAGRAM_BYTES) {
            log.event(Level.WARN, "datagram-too-large", "bytes" to bytes.size) { "datagram is too large, not sent" }
            return
        }
        receivers.forEach { channel.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), it)) }
        channel.flush()
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(
            ctx: ChannelHandlerContext,
            packet: DatagramPacket,
        ) {
            try {
                receive(cbor.decodeFromByteArray(GatewayDatagram.serializer(), ByteBufUtil.getBytes(packet.content())))
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
