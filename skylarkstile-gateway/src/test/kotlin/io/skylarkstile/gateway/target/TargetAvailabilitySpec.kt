/*
 * Guards against calls to a target in a span in which it takes none, in any order of its statements, and against a sound target that stays
 * unused after its pause.
 */
package io.skylarkstile.gateway.target

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.skylarkstile.gateway.entry
import io.skylarkstile.gateway.forEachSeed
import io.skylarkstile.gateway.model.NamedLimit
import io.skylarkstile.gateway.model.ResponseHead
import kotlin.random.Random

private const val PLAY_MS = 30_000L
private const val LONGEST_PAUSE_MS = 600_000L

private fun head(
    status: Int = 200,
    pauseMs: Long? = null,
    isLeaving: Boolean = false,
) = ResponseHead(
    status = status,
    callId = "c",
    isSigned = true,
    isNotExecuted = pauseMs != null,
    targetId = null,
    keepAliveMs = null,
    hasContentEncoding = false,
    namedLimit = NamedLimit.None,
    isTargetLeaving = isLeaving,
    pauseMs = pauseMs,
)

class TargetAvailabilitySpec :
    FunSpec({
        test("no call is sent in a pause or after a target has said that it leaves, and a sound target is used again within 50 ms") {
            forEachSeed(300) { seed ->
                val random = Random(seed)
                val table = TargetTable()
                var run = 1L
                var target = table.put(entry("t-1", startedAt = run))
                var pausedUntil = 0L
                var hasLeft = false
                var answersAt = ArrayDeque<Long>()
                var freeSince = 0L
                (0 until PLAY_MS).forEach { now ->
                    val mayCall = now >= pausedUntil && !hasLeft
                    if (!mayCall) freeSince = now
                    val isFree = target.acceptsCalls && !target.availability.isBlocked(now)
                    withClue("at $now, paused until $pausedUntil, left $hasLeft") {
                        if (isFree) mayCall shouldBe true
                        if (mayCall && answersAt.isEmpty() && now - freeSince > 50) isFree shouldBe true
                    }
                    if (isFree && random.nextInt(10) == 0) {
                        target.availability.callSent(now)
                        answersAt.add(now + 5 + random.nextInt(30))
                    }
                    while (answersAt.isNotEmpty() && answersAt.first() <= now) {
                        answersAt.removeFirst()
                        when (random.nextInt(60)) {
                            0 -> {
                                val pauseMs = 1L + random.nextInt(2_000)
                                target.availability.observe(head(503, pauseMs), now)
                                pausedUntil = maxOf(pausedUntil, now + pauseMs)
                            }

                            1 -> {
                                target.availability.observe(head(isLeaving = true), now)
                                hasLeft = true
                            }

                            else -> {
                                target.availability.observe(head(), now)
                            }
                        }
                    }
                    when (random.nextInt(2_000)) {
                        // The entry still says that the target is ready, which undoes nothing.
                        0 -> {
                            target = table.put(entry("t-1", startedAt = run))
                        }

                        1 -> {
                            target = table.put(entry("t-1", startedAt = ++run))
                            pausedUntil = 0
                            hasLeft = false
                            answersAt = ArrayDeque()
                        }
                    }
                }
            }
        }

        test("calls after a pause begin with one, and the others follow when it is answered") {
            val availability = TargetAvailability()
            availability.observe(head(503, pauseMs = 1_000), 0)
            availability.isBlocked(999) shouldBe true
            availability.isBlocked(1_000) shouldBe false
            availability.callSent(1_000)
            availability.isBlocked(1_001) shouldBe true
            availability.observe(head(), 1_050)
            availability.isBlocked(1_051) shouldBe false
        }

        test("the longest pause is followed, not a longer one, and a shorter one doesn't end a longer one") {
            val availability = TargetAvailability()
            availability.observe(head(503, pauseMs = Long.MAX_VALUE / 2), 0)
            availability.observe(head(503, pauseMs = 10), 5)
            availability.blockedUntilOrNull(100) shouldBe LONGEST_PAUSE_MS
        }
    })
