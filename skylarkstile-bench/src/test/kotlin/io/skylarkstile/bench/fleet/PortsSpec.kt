/*
 * Guards against loopback addresses that the processes of a fleet can't bind, or that two test processes share.
 */
package io.skylarkstile.bench.fleet

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe

private const val PID_COUNT = 1 shl 22

class PortsSpec :
    FunSpec({
        // The stand-ins of a test process whose id ended in 0xff could not bind their address.
        test("each process id has a loopback IP of its own that doesn't end in 0 or 255") {
            val pids = (0 until PID_COUNT step 61) + (0 until 4_096) + (PID_COUNT - 4_096 until PID_COUNT)
            val ips = pids.distinct().map(::loopbackIp)
            ips.distinct().size shouldBe ips.size
            ips.forEach { ip -> ip.split('.').map(String::toInt).forEach { it shouldBeInRange 0..255 } }
            ips.forEach { it.substringAfterLast('.').toInt() shouldBeInRange 1..254 }
        }
    })
