/*
 * Guards against a view of the store that silently becomes outdated: through lost calls, a history that is gone, or outages during which
 * entries expire.
 */
package io.skylarkstile.gateway.store

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.skylarkstile.gateway.ManualScheduler

/** Records calls; the test gives the answers. */
private class ScriptedStore : ReadOnlyStore() {
    val calls = ArrayList<String>()
    var renewals = 0
    var waitMs = 0L
    var answer: ((StoreResult<StorePage>) -> Unit)? = null

    override fun renewConnections() {
        renewals++
    }

    override fun list(
        kind: StoreKind,
        done: (StoreResult<StorePage>) -> Unit,
    ) {
        calls.add("list")
        answer = done
    }

    override fun watch(
        kind: StoreKind,
        revision: Long,
        waitMs: Long,
        done: (StoreResult<StorePage>) -> Unit,
    ) {
        calls.add("watch $revision")
        this.waitMs = waitMs
        answer = done
    }

    fun respond(result: StoreResult<StorePage>) = checkNotNull(answer).invoke(result)
}

private class RecordingListener : StoreListener {
    val seen = ArrayList<String>()
    var confirmedAt = -1L
    var reappearUntil: Long? = null

    override fun onListed(
        page: StorePage,
        now: Long,
        reappearUntil: Long?,
    ) {
        seen.add("listed ${page.objects.map { it.name }} ${reappearUntil != null}")
    }

    override fun onChanged(
        page: StorePage,
        now: Long,
        reappearUntil: Long?,
    ) {
        seen.add("changed ${page.objects.map { it.name }} ${reappearUntil != null}")
        this.reappearUntil = reappearUntil
    }

    override fun onConfirmed(
        at: Long,
        requestedAt: Long,
        revision: Long,
    ) {
        confirmedAt = at
    }
}

private fun page(
    revision: Long,
    vararg names: String,
) = StoreResult.Success(StorePage(names.map { StoredObject(it, revision, "{}") }, revision))

/** Sets up a watch that has listed revision 7 and may rely on the views of peers. */
private class PeerFollower {
    val store = ScriptedStore()
    val scheduler = ManualScheduler()
    val recorder = RecordingListener()
    val asked = ArrayList<Long>()
    var answer: ((ChangesSince?) -> Unit)? = null
    val watch = StoreWatch(StoreKind.Targets, store, scheduler, recorder, PeerFollowerTiming)

    init {
        watch.start()
        store.respond(page(7, "a"))
    }

    fun receiveView(
        changed: Long,
        seen: Long,
        ageMs: Long,
        latest: LatestChanges? = null,
    ) = watch.merge(
        StoreKindView(StoreKind.Targets, changed, seen, ageMs, latest),
        scheduler.now() - ageMs,
        scheduler.now(),
    ) { _, after, done ->
        asked.add(after)
        answer = done
    }
}

private object PeerFollowerTiming : WatchTiming {
    override val waitMs = 2_500L
    override val pauseMs = 0L
    override val reliesOnPeers = true
    override val maxPeerViewAgeMs = 1_200L
    override val removalGraceMs = 400L
}

class StoreWatchSpec :
    FunSpec({
        val store = ScriptedStore()
        val scheduler = ManualScheduler()
        val recorder = RecordingListener()
        val watch =
            StoreWatch(StoreKind.Targets, store, scheduler, recorder, fixedWatchTiming(waitMs = 2_000, pauseMs = 500, removalGraceMs = 400))

        test("lists, watches from the list's revision, and confirms up to when its view is current") {
            watch.start()
            scheduler.advance(30)
            store.respond(page(7, "a"))
            recorder.confirmedAt shouldBe 0
            store.calls.last() shouldBe "watch 7"
            scheduler.advance(2_010)
            store.respond(page(7))
            // The store can't have sent the empty answer before the whole wait was over.
            recorder.confirmedAt shouldBe 2_030
        }

        test("reads further changes together after a pause and confirms the view only as of its request") {
            scheduler.advance(100)
            store.respond(page(9, "b"))
            recorder.seen.last() shouldBe "changed [b] false"
            recorder.confirmedAt shouldBe 2_040
            store.calls.last() shouldBe "watch 7"
            scheduler.advance(500)
            store.calls.last() shouldBe "watch 9"
        }

        test("retries after failures, marks changes shortly after an outage, and lists again when the history is gone") {
            store.respond(StoreResult.Failed("down", false))
            scheduler.advance(100)
            store.respond(StoreResult.Failed("down", false))
            scheduler.advance(200)
            store.respond(StoreResult.HistoryGone)
            store.calls.last() shouldBe "list"
            store.respond(page(20, "b"))
            recorder.seen.last() shouldBe "listed [b] true"
            scheduler.advance(2_600)
            store.respond(page(21, "c"))
            recorder.seen.last() shouldBe "changed [c] false"
        }

        test("a removal shortly after an outage gets a time limit that counts from the end of the outage, and a later one gets none") {
            failTwice(store, scheduler)
            val endedAt = scheduler.now()
            scheduler.advance(300)
            store.respond(page(30, "d"))
            // The first answer after the outage still had it, so it may be gone for good.
            recorder.reappearUntil shouldBe endedAt + 300 + 400
            scheduler.advance(1_700)
            store.respond(page(31, "d"))
            recorder.reappearUntil shouldBe endedAt + 2_200
            scheduler.advance(500)
            store.respond(page(32, "e"))
            recorder.reappearUntil shouldBe null
        }

        // The first answer after any failure was taken for the end of an outage, so a target that went later was kept beyond the drain bound.
        test("a watch that is cut off is renewed at once on a new connection, and isn't an outage if that call is answered") {
            scheduler.advance(3_000)
            store.respond(page(32))
            scheduler.advance(1_000)
            val calls = store.calls.size
            val renewals = store.renewals
            store.respond(StoreResult.Failed("cut off", false))
            store.calls.size shouldBe calls + 1
            store.waitMs shouldBe 1
            store.renewals shouldBe renewals + 1
            scheduler.advance(5)
            store.respond(page(33, "f"))
            recorder.reappearUntil shouldBe null
        }

        // A watch that stood on a silent connection hid changes for 3.5 s, and after a pause for longer.
        test("a silent watch is renewed on a new connection within 2.9 s of the last answer, also after a pause, and isn't an outage") {
            val answeredAt = scheduler.now()
            scheduler.advance(2_899)
            val calls = store.calls.size
            val renewals = store.renewals
            scheduler.advance(1)
            store.calls.size shouldBe calls + 1
            store.renewals shouldBe renewals + 1
            scheduler.now() - answeredAt shouldBe 2_900
            store.respond(page(34, "g"))
            recorder.reappearUntil shouldBe null
        }

        test("an instance that relies on peers doesn't ask the store while their views are current, and applies their changes") {
            val follower = PeerFollower()
            follower.receiveView(changed = 7, seen = 12, ageMs = 300)
            follower.scheduler.advance(900)
            follower.watch.tick()
            follower.store.calls shouldBe listOf("list", "watch 7")
            follower.recorder.confirmedAt shouldBe -300
            follower.receiveView(changed = 14, seen = 15, ageMs = 300)
            follower.asked shouldBe listOf(12L)
            follower.answer?.invoke(ChangesSince(15, null, listOf(StoredObject("b", 14, "{}"))))
            follower.recorder.seen.last() shouldBe "changed [b] false"
            // The answer to the watch that was pending is about an earlier revision and would restore old states.
            follower.store.respond(page(9, "old"))
            follower.recorder.seen.last() shouldBe "changed [b] false"
        }

        test("an instance that relies on peers asks the store, from its own revision, as soon as their views are too old") {
            val follower = PeerFollower()
            follower.receiveView(changed = 7, seen = 12, ageMs = 300)
            follower.scheduler.advance(600)
            // The aggregator has lost the store, so the age of its view grows.
            follower.receiveView(changed = 7, seen = 12, ageMs = 1_201)
            follower.scheduler.advance(400)
            follower.watch.tick()
            follower.store.calls.last() shouldBe "watch 12"
        }

        test("an instance that can't fetch changes from its peer asks the store at once") {
            val follower = PeerFollower()
            follower.receiveView(changed = 7, seen = 12, ageMs = 0)
            follower.receiveView(changed = 14, seen = 15, ageMs = 0)
            follower.answer?.invoke(null)
            follower.store.calls.last() shouldBe "watch 12"
        }

        test("small changes come with the view itself, and changes that are already applied aren't applied again") {
            val follower = PeerFollower()
            follower.receiveView(changed = 7, seen = 12, ageMs = 0)
            val changes = listOf(SeenChange(9, StoredObject("old", 9, "{}")), SeenChange(14, StoredObject("b", 14, "{}")))
            follower.receiveView(changed = 14, seen = 15, ageMs = 100, latest = LatestChanges(8, 15, null, changes))
            follower.asked.isEmpty() shouldBe true
            follower.recorder.seen.last() shouldBe "changed [b] false"
            follower.receiveView(changed = 20, seen = 21, ageMs = 100, latest = LatestChanges(18, 21, null, emptyList()))
            follower.asked shouldBe listOf(15L)
        }

        // Guards against applying a removal twice but the return once: instances had different sets, and two gave orders to one target.
        test("a removal that is already applied isn't applied again when a later change is sent with it") {
            val follower = PeerFollower()
            follower.receiveView(changed = 7, seen = 12, ageMs = 0)
            val removed = SeenChange(13, StoredObject("a", 13, null))
            val back = SeenChange(14, StoredObject("a", 14, "{}"))
            follower.receiveView(changed = 14, seen = 14, ageMs = 0, latest = LatestChanges(12, 14, null, listOf(removed, back)))
            follower.recorder.seen.last() shouldBe "changed [a, a] false"
            val other = SeenChange(15, StoredObject("b", 15, "{}"))
            follower.receiveView(changed = 15, seen = 15, ageMs = 0, latest = LatestChanges(12, 15, null, listOf(removed, back, other)))
            follower.recorder.seen.last() shouldBe "changed [b] false"
        }

        test("an instance that was suspended ignores views that acknowledge a message from before the suspension") {
            val follower = PeerFollower()
            follower.scheduler.advance(1_000)
            val requestedAt = follower.scheduler.now()
            follower.watch.invalidate(requestedAt + 1)
            follower.scheduler.advance(100)
            follower.watch.merge(StoreKindView(StoreKind.Targets, 7, 12, 0), requestedAt, requestedAt) { _, _, _ -> }
            follower.watch.viewOrNull(follower.scheduler.now()) shouldBe null
        }
    })

/** Makes the watch fail, and the call at once after it too, and then succeed without a change. */
private fun failTwice(
    store: ScriptedStore,
    scheduler: ManualScheduler,
) {
    scheduler.advance(500)
    store.respond(StoreResult.Failed("down", false))
    store.respond(StoreResult.Failed("down", false))
    scheduler.advance(100)
    store.respond(page(30))
}
