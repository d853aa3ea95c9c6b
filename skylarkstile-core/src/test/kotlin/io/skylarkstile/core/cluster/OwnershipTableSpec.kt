/*
 * Tests of resource acquisition and release in states that the cluster simulation does not reach.
 */
package io.skylarkstile.core.cluster

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.skylarkstile.schema.generated.Heartbeat
import io.skylarkstile.schema.generated.Member

private fun member(name: String) = Member(
    instance = name,
    incarnation = 1,
    callerAddress = "$name:1",
    peerAddress = "$name:2",
    dataCentre = "dc1",
    state = Member.State.Active,
)

class OwnershipTableSpec :
    FunSpec({
        // Guards against resources that stay without an owner: unchanged records keep the revision at which each instance first listed
        // them, so an instance that listed earlier may never state the revision that another one waits for.
        test("a resource is acquired when the other member listed the same records at an earlier revision and knows of no change since") {
            val roster = emptyRoster.copy(revision = 1, members = listOf(member("a"), member("b")))
            val resource = (1..100).map { targetResource("t$it", "dc1") }.first { roster.ownerOrNull(it)?.instance == "a" }
            val a = OwnershipTable("a").also { it.adopt(roster, listOf(resource), 105) }
            val b = OwnershipTable("b").also { it.adopt(roster, listOf(resource), 100) }

            fun sendHeartbeatToA() {
                val (released, snapshot) = b.releasedRevisionsFor("a")
                a.recordHeartbeat("b", Heartbeat(1, released, snapshot, 1, 1, 100, true))
            }
            sendHeartbeatToA()
            a.acquire() shouldBe emptyList()
            b.markUnchangedTo(105)
            sendHeartbeatToA()
            a.acquire() shouldBe listOf(resource)
        }
    })
