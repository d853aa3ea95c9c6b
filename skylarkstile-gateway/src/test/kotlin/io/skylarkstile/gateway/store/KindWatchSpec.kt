/*
 * Guards against a view of the store that silently stays old: lost calls, a history that is gone, and outages during which entries lapse.
 */
package io.skylarkstile.gateway.store

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.skylarkstile.gateway.ManualScheduler

/** A store whose answers are given by the test. */
private class ScriptedStore : ReadOnlyStore() {
    val calls = ArrayList<String>()
    var answer: ((StoreResult<StorePage>) -> Unit)? = null

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
        answer = done
    }

    fun give(result: StoreResult<StorePage>) = checkNotNull(answer).invoke(result)
}

private class Recorder : KindListener {
    val seen = ArrayList<String>()
    var confirmedAt = -1L
    var returnBy: Long? = null

    override fun listed(
        page: StorePage,
        now: Long,
        returnBy: Long?,
    ) {
        seen.add("listed ${page.objects.map { it.name }} ${returnBy != null}")
    }

    override fun changed(
        page: StorePage,
        now: Long,
        returnBy: Long?,
    ) {
        seen.add("changed ${page.objects.map { it.name }} ${returnBy != null}")
        this.returnBy = returnBy
    }

    override fun confirmed(
        at: Long,
        askedAt: Long,
        revision: Long,
    ) {
        confirmedAt = at
    }
}

private fun page(
    revision: Long,
    vararg names: String,
) = StoreResult.Success(StorePage(names.map { StoredObject(it, revision, "{}") }, revision))

/** A watch that has listed revision 7 and may rely on what others tell. */
private class Relying {
    val store = ScriptedStore()
    val scheduler = ManualScheduler()
    val recorder = Recorder()
    val asked = ArrayList<Long>()
    var answer: ((ChangesSince?) -> Unit)? = null
    val watch = KindWatch(StoreKind.Targets, store, scheduler, recorder, RelyingPace)

    init {
        watch.start()
        store.give(page(7, "a"))
    }

    fun told(
        changed: Long,
        seen: Long,
        ageMs: Long,
        latest: LatestChanges? = null,
    ) = watch.hear(KindView(StoreKind.Targets, changed, seen, ageMs, latest), scheduler.now() - ageMs, scheduler.now()) { _, after, done ->
        asked.add(after)
        answer = done
    }
}

private object RelyingPace : WatchPace {
    override val waitMs = 2_500L
    override val pauseMs = 0L
    override val reliesOnPeers = true
    override val mostAgeMs = 1_200L
}

class KindWatchSpec :
    FunSpec({
        val store = ScriptedStore()
        val scheduler = ManualScheduler()
        val recorder = Recorder()
        val watch = KindWatch(StoreKind.Targets, store, scheduler, recorder, steadyPace(waitMs = 2_000, pauseMs = 500))

        test("lists, watches from the list's revision, and knows how long its view is certain") {
            watch.start()
            scheduler.advance(30)
            store.give(page(7, "a"))
            recorder.confirmedAt shouldBe 0
            store.calls.last() shouldBe "watch 7"
            scheduler.advance(2_010)
            store.give(page(7))
            // The empty answer can't have been given before the whole wait was over.
            recorder.confirmedAt shouldBe 2_030
        }

        test("reads changes together after a pause and confirms only what was certain when it asked") {
            scheduler.advance(100)
            store.give(page(9, "b"))
            recorder.seen.last() shouldBe "changed [b] false"
            recorder.confirmedAt shouldBe 2_040
            store.calls.last() shouldBe "watch 7"
            scheduler.advance(500)
            store.calls.last() shouldBe "watch 9"
        }

        test("tries again after failures, marks what follows an outage, and lists anew when the history is gone") {
            store.give(StoreResult.Failed("down", false))
            scheduler.advance(100)
            store.give(StoreResult.Failed("down", false))
            scheduler.advance(200)
            store.give(StoreResult.HistoryGone)
            store.calls.last() shouldBe "list"
            store.give(page(20, "b"))
            recorder.seen.last() shouldBe "listed [b] true"
            scheduler.advance(2_600)
            store.give(page(21, "c"))
            recorder.seen.last() shouldBe "changed [c] false"
        }

        test("an entry that goes some seconds after an outage is kept no longer than from the end of the outage, and then not at all") {
            failOnce(store, scheduler)
            val endedAt = scheduler.now()
            scheduler.advance(2_000)
            store.give(page(31, "d"))
            recorder.returnBy shouldBe endedAt + 2_200
            scheduler.advance(500)
            store.give(page(32, "e"))
            recorder.returnBy shouldBe null
        }

        test("an instance that relies on others asks nothing while they tell a current view, and takes their changes") {
            val relying = Relying()
            relying.told(changed = 7, seen = 12, ageMs = 300)
            relying.scheduler.advance(900)
            relying.watch.tick()
            relying.store.calls shouldBe listOf("list", "watch 7")
            relying.recorder.confirmedAt shouldBe -300
            relying.told(changed = 14, seen = 15, ageMs = 300)
            relying.asked shouldBe listOf(12L)
            relying.answer?.invoke(ChangesSince(15, null, listOf(StoredObject("b", 14, "{}"))))
            relying.recorder.seen.last() shouldBe "changed [b] false"
            // The answer to the watch that was under way is about an earlier revision and would bring old states back.
            relying.store.give(page(9, "old"))
            relying.recorder.seen.last() shouldBe "changed [b] false"
        }

        test("an instance that relies on others asks the store as soon as what they tell is too old, from the revision it knows") {
            val relying = Relying()
            relying.told(changed = 7, seen = 12, ageMs = 300)
            relying.scheduler.advance(600)
            // The aggregator can't see the store any more, so the age of its view grows.
            relying.told(changed = 7, seen = 12, ageMs = 1_201)
            relying.scheduler.advance(400)
            relying.watch.tick()
            relying.store.calls.last() shouldBe "watch 12"
        }

        test("an instance whose changes can't be told asks the store at once") {
            val relying = Relying()
            relying.told(changed = 7, seen = 12, ageMs = 0)
            relying.told(changed = 14, seen = 15, ageMs = 0)
            relying.answer?.invoke(null)
            relying.store.calls.last() shouldBe "watch 12"
        }

        test("small changes come with the view itself, and those that are known already aren't applied again") {
            val relying = Relying()
            relying.told(changed = 7, seen = 12, ageMs = 0)
            val changes = listOf(SeenChange(9, StoredObject("old", 9, "{}")), SeenChange(14, StoredObject("b", 14, "{}")))
            relying.told(changed = 14, seen = 15, ageMs = 100, latest = LatestChanges(8, 15, null, changes))
            relying.asked.isEmpty() shouldBe true
            relying.recorder.seen.last() shouldBe "changed [b] false"
            relying.told(changed = 20, seen = 21, ageMs = 100, latest = LatestChanges(18, 21, null, emptyList()))
            relying.asked shouldBe listOf(15L)
        }

        // Instances that saw a removal twice and the return once believed in different sets, and two of them ordered the same target.
        test("a removal that is known already isn't applied again when a later change is told with it") {
            val relying = Relying()
            relying.told(changed = 7, seen = 12, ageMs = 0)
            val removed = SeenChange(13, StoredObject("a", 13, null))
            val back = SeenChange(14, StoredObject("a", 14, "{}"))
            relying.told(changed = 14, seen = 14, ageMs = 0, latest = LatestChanges(12, 14, null, listOf(removed, back)))
            relying.recorder.seen.last() shouldBe "changed [a, a] false"
            val other = SeenChange(15, StoredObject("b", 15, "{}"))
            relying.told(changed = 15, seen = 15, ageMs = 0, latest = LatestChanges(12, 15, null, listOf(removed, back, other)))
            relying.recorder.seen.last() shouldBe "changed [b] false"
        }

        test("an instance that was suspended believes nothing that was told in answer to a message from before") {
            val relying = Relying()
            relying.scheduler.advance(1_000)
            val askedAt = relying.scheduler.now()
            relying.watch.forget(askedAt + 1)
            relying.scheduler.advance(100)
            relying.watch.hear(KindView(StoreKind.Targets, 7, 12, 0), askedAt, askedAt) { _, _, _ -> }
            relying.watch.viewOrNull(relying.scheduler.now()) shouldBe null
        }
    })

/** Lets the watch fail once and succeed again without a change. */
private fun failOnce(
    store: ScriptedStore,
    scheduler: ManualScheduler,
) {
    scheduler.advance(500)
    store.give(StoreResult.Failed("down", false))
    scheduler.advance(100)
    store.give(page(30))
}
