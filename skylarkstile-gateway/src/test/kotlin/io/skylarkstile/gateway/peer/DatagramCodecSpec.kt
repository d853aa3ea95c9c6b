/*
 * Guards against messages that change when they are deflated and inflated, and against malformed datagrams: short ones that inflate beyond
 * the size limit, and bytes of other programs.
 */
package io.skylarkstile.gateway.peer

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.skylarkstile.gateway.forEachSeed
import io.skylarkstile.schema.generated.FleetReport
import io.skylarkstile.schema.generated.GatewayDatagram
import io.skylarkstile.schema.generated.SetVouch
import io.skylarkstile.schema.generated.TargetLoads
import kotlinx.serialization.SerializationException
import java.util.zip.Deflater
import kotlin.random.Random

private fun report(members: Int) = FleetReport(
    startedAt = 1,
    number = 2,
    isFleetKnown = true,
    heard = List(members) { SetVouch("instance-$it", 1_783_488_598_264, it.toLong()) },
    absent = emptyList(),
    load = TargetLoads(emptyList(), emptyList(), emptyList(), emptyList()),
    uses = emptyList(),
    demands = emptyList(),
    held = emptyList(),
    orderable = List(members) { "target-$it" },
    views = emptyList(),
    set = 7,
)

private fun deflated(plain: ByteArray): ByteArray {
    val deflater = Deflater(Deflater.BEST_COMPRESSION, true)
    deflater.setInput(plain)
    deflater.finish()
    val buffer = ByteArray(plain.size + 64)
    return byteArrayOf(1) + buffer.copyOf(deflater.deflate(buffer))
}

class DatagramCodecSpec :
    FunSpec({
        test("short and long messages are read as they were sent") {
            val codec = DatagramCodec()
            listOf(0, 1, 20, 300, 5_000).forEach { members ->
                val datagram = GatewayDatagram(sender = "a", fleetReport = report(members))
                codec.decode(codec.encode(datagram)) shouldBe datagram
            }
        }

        test("a report of a group shrinks to less than half") {
            val datagram = GatewayDatagram(sender = "a", fleetReport = report(24))
            val plain =
                io.skylarkstile.schema.peerCbor
                    .encodeToByteArray(GatewayDatagram.serializer(), datagram)
            DatagramCodec().encode(datagram).size * 2 shouldBeLessThan plain.size
        }

        test("a message that inflates beyond the bound is malformed") {
            shouldThrow<SerializationException> { DatagramCodec().decode(deflated(ByteArray(20_000_000))) }
        }

        test("bytes of other programs are malformed, and the next message is read") {
            forEachSeed(300) { seed ->
                val random = Random(seed)
                val codec = DatagramCodec()
                val valid = codec.encode(GatewayDatagram(sender = "a", fleetReport = report(24)))
                val bytes =
                    when (random.nextInt(3)) {
                        0 -> random.nextBytes(random.nextInt(2_000))
                        1 -> valid.copyOf(random.nextInt(valid.size))
                        else -> valid.copyOf().also { it[random.nextInt(it.size)] = random.nextInt().toByte() }
                    }
                try {
                    codec.decode(bytes)
                } catch (_: SerializationException) {
                    // Rejected as malformed by the codec.
                } catch (_: IllegalArgumentException) {
                    // Rejected as malformed by the CBOR decoder.
                }
                codec.decode(valid).sender shouldBe "a"
            }
        }
    })
