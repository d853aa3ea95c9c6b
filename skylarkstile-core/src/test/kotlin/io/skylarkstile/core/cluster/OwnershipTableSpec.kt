/*
 * Tests of the acquire and release states that the simulation of the membership does not reach.
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
        // Guards against resources that never get an owner, since records that do not change keep the revision of each instance's own list.
        test("a resource is acquired when the other member listed the same records at an earlier revision and knows of no change since") {
            val roster = emptyRoster.copy(revision = 1, members = listOf(member("a"), member("b")))
            val resource = (1..100).map { targetResource("t$it", "dc1") }.first { roster.ownerOrNull(it)?.instance == "a" }
            val a = OwnershipTable("a").also { it.adopt(roster, listOf(resource), 105) }
            val b = OwnershipTable("b").also { it.adopt(roster, listOf(resource), 100) }

            fun tellA() {
                val (released, snapshot) = b.statementFor("a")
                a.noteHeartbeat("b", Heartbeat(1, released, snapshot, 1, 1, 100, true))
            }
            tellA()
            a.acquire() shouldBe emptyList()
            b.knownUpTo(105)
            tellA()
            a.acquire() shouldBe listOf(resource)
        }
    })
