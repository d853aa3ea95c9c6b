/*
 * Guards against instances that compute different groups, groups with an unsuitable aggregator, and groups without an aggregator.
 */
package io.skylarkstile.gateway.membership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import java.net.InetSocketAddress

private fun fleet(
    size: Int,
    dataCentres: Int,
): InstanceSet {
    val records =
        List(size) {
            val address = InetSocketAddress("127.0.0.1", 1 + it)
            InstanceRecord("i-$it", "dc-${it % dataCentres}", address, address, 1, emptySet(), linkMbps = if (it % 7 == 0) 7 else 140)
        }
    return InstanceSet(records.associateBy { it.name })
}

class FleetGroupsSpec :
    FunSpec({
        test("all instances compute the same groups, each within one data centre and of bounded size") {
            listOf(13 to 3, 95 to 5, 300 to 3).forEach { (size, dataCentres) ->
                val set = fleet(size, dataCentres)
                val groups = set.members.keys.map { FleetGroups(set, it) }
                groups.map { it.members }.toSet().size shouldBe 1
                groups.sumOf { it.ownMembers.size } shouldBe
                    groups
                        .first()
                        .members.values
                        .sumOf { it.size * it.size }
                groups.first().members.values.forEach { members ->
                    members.map { it.dataCentre }.toSet().size shouldBe 1
                    // Twice the maximum average size, since instances are spread by hash.
                    members.size shouldBeLessThanOrEqual 48
                    members.first().linkMbps shouldBe members.maxOf { it.linkMbps }
                }
            }
        }

        // When both fast instances of a data centre were in one group, the other group's aggregator had a twentieth of their bandwidth.
        test("fast instances are spread over the groups of their data centre, whatever the hashes of their names") {
            repeat(40) { seed ->
                val records =
                    List(75) {
                        val address = InetSocketAddress("127.0.0.1", 1 + it)
                        InstanceRecord("n$seed-$it", "dc-${it % 3}", address, address, 1, emptySet(), linkMbps = if (it < 6) 200 else 10)
                    }
                val groups = FleetGroups(InstanceSet(records.associateBy { it.name }), "n$seed-0").members
                groups.values.map { it.first().linkMbps }.toSet() shouldBe setOf(200)
            }
        }

        test("when an instance leaves, at most the aggregator candidates change their group") {
            val set = fleet(120, 3)
            val before = FleetGroups(set, "i-1")
            val candidates = AGGREGATOR_CANDIDATES * before.members.size / 3
            set.members.keys.forEach { removed ->
                val after = FleetGroups(InstanceSet(set.members - removed), "i-1")
                (set.members.keys - removed).count { before.groupOrNull(it) != after.groupOrNull(it) } shouldBeLessThanOrEqual candidates
            }
        }

        test("a small fleet has no groups") {
            FleetGroups(fleet(6, 3), "i-1").isDirect shouldBe true
            FleetGroups(fleet(12, 3), "i-1").members.isEmpty() shouldBe true
        }

        test("the next member aggregates if the first is silent, and stops when the first is back") {
            val role = AggregatorRole().apply { reset(0) }
            role.isAggregator(1, isCurrent = true, now = 500) shouldBe false
            role.isAggregator(1, isCurrent = true, now = 900) shouldBe true
            role.receive(0, isCurrent = true, now = 1_000)
            role.isAggregator(1, isCurrent = true, now = 1_100) shouldBe false
            role.isAggregator(2, isCurrent = true, now = 2_700) shouldBe false
            role.isAggregator(2, isCurrent = true, now = 2_800) shouldBe true
        }

        test("an aggregator that can't read the store is replaced only by a member that can") {
            val first = AggregatorRole().apply { reset(0) }
            first.isAggregator(0, isCurrent = false, now = 5_000) shouldBe true
            val next = AggregatorRole().apply { reset(0) }
            (1..20).forEach { next.receive(0, isCurrent = it < 10, now = it * 100L) }
            next.isAggregator(1, isCurrent = false, now = 2_000) shouldBe false
            next.isAggregator(1, isCurrent = true, now = 2_000) shouldBe true
            first.receive(1, isCurrent = true, now = 5_100)
            first.isAggregator(0, isCurrent = false, now = 5_200) shouldBe false
            first.isAggregator(0, isCurrent = true, now = 5_300) shouldBe true
        }
    })
