/*
 * Guards against changes that an instance misses when it catches up from another instance's log.
 */
package io.skylarkstile.gateway.store

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.skylarkstile.gateway.forEachSeed
import kotlin.random.Random

private fun item(
    name: String,
    revision: Long,
    spec: String?,
) = StoredObject(name, revision, spec)

private fun MutableMap<String, String>.apply(item: StoredObject) {
    val spec = item.spec
    if (spec == null) remove(item.name) else put(item.name, spec)
}

class ChangeLogSpec :
    FunSpec({
        test("catching up from any revision within retention yields the same objects, in any order of changes") {
            forEachSeed(300) { seed ->
                val random = Random(seed)
                val log = ChangeLog { null }
                val state = HashMap<String, String>()
                val followers = HashMap<Long, Map<String, String>>()
                log.restart(StorePage(emptyList(), 1))
                var revision = 1L
                var now = 0L
                repeat(random.nextInt(1, 700)) {
                    followers[revision] = state.toMap()
                    now += random.nextLong(60)
                    val changes =
                        List(random.nextInt(1, 4)) {
                            item(
                                "o-${random.nextInt(6)}",
                                ++revision,
                                "$revision".takeIf {
                                    random.nextInt(3) >
                                        0
                                },
                            )
                        }
                    changes.forEach { state.apply(it) }
                    log.append(StorePage(changes, revision), now, null)
                }
                followers.forEach { (from, known) ->
                    val changesSince = log.afterOrNull(from, revision, now) ?: return@forEach
                    val seen = known.toMutableMap()
                    changesSince.objects.forEach { seen.apply(it) }
                    seen shouldBe state
                }
                (log.afterOrNull(revision, revision, now)?.objects ?: error("the newest revision is not in the log")) shouldBe emptyList()
            }
        }

        test("changes that leave the relevant content equal aren't recorded, and a removal always is") {
            val log = ChangeLog { it.spec?.substringBefore(' ') }
            log.restart(StorePage(listOf(item("a", 1, "ready 1")), 1))
            log.append(StorePage(listOf(item("a", 2, "ready 2")), 2), 0, null)
            log.changed shouldBe 1
            log.append(StorePage(listOf(item("a", 3, "draining 3")), 3), 0, null)
            log.append(StorePage(listOf(item("a", 4, null)), 4), 0, null)
            log.append(StorePage(listOf(item("a", 5, "draining 5")), 5), 0, null)
            log.changed shouldBe 5
            log.afterOrNull(1, 5, 0)?.objects?.map { it.revision } shouldBe listOf(3L, 4L, 5L)
        }

        test("no changes are returned for a revision from before the log") {
            val log = ChangeLog { null }
            log.afterOrNull(1, 1, 0) shouldBe null
            log.restart(StorePage(emptyList(), 10))
            log.afterOrNull(9, 10, 0) shouldBe null
            log.append(StorePage(listOf(item("a", 11, "x")), 11), 0, null)
            log.append(StorePage(listOf(item("b", 12, "x")), 12), 20_000, null)
            log.afterOrNull(10, 12, 20_000) shouldBe null
            log.afterOrNull(11, 12, 20_000)?.objects?.map { it.name } shouldBe listOf("b")
        }
    })
