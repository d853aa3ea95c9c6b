/*
 * Guards against calls that run on a permission which expired while they waited for tokens, and against losing the tokens of such calls.
 */
package io.skylarkstile.gateway.admission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.skylarkstile.gateway.configuration
import io.skylarkstile.gateway.model.CallHead
import io.skylarkstile.gateway.model.TokenRate
import io.skylarkstile.gateway.model.Workspace
import io.skylarkstile.gateway.route

private val call =
    CallHead("id", HttpMethod.GET, "/a/", "host.example", DefaultHttpHeaders(), "key-1", 1_000, null, null, 0, 0, false, null)
private val rate = TokenRate(perSecond = 1_000.0, burst = 1_000.0, defaultCost = 200)

private fun configurationWith(vararg keys: String) = configuration(listOf(route("/a/")), listOf(Workspace("w", keys.toList(), null, rate)))

/** A token source that is answered by the test. */
private class ManualTokenSource : TokenSource {
    var answer: ((TokenAnswer, Long) -> Unit)? = null
    var isActive = true

    override fun isRemote(
        workspace: String,
        now: Long,
    ) = isActive

    override fun request(
        workspace: String,
        tokens: Int,
        now: Long,
        done: (TokenAnswer, Long) -> Unit,
    ) {
        answer = done
    }
}

private class Fixture {
    val source = ManualTokenSource()
    val freshness = Freshness(4_000)
    val shares = WorkspaceShares(QuotaTolerance(0.0, 0.0, 8_000))
    var configuration = configurationWith("key-1")
    private val admission = CallAdmission(shares, freshness, source)

    init {
        freshness.confirm(0)
        shares.configure(0, configuration, 1)
    }

    fun completeAdmission(
        answer: TokenAnswer,
        at: Long,
        meanwhile: () -> Unit = {},
    ): Admission {
        val pending = admission.admit(0, call, configuration) as Admission.PendingTokens
        var outcome: Admission = pending
        admission.completeAdmission(0, call, pending, { configuration }) { _, decided -> outcome = decided }
        meanwhile()
        checkNotNull(source.answer).invoke(answer, at)
        return outcome
    }

    fun admitted() = checkNotNull(shares.shareOrNull(checkNotNull(configuration.workspaces).first())).admitted
}

class CallAdmissionSpec :
    FunSpec({
        test("a call runs if its tokens are granted, is refused with a retry delay, and is decided by the share if there is no answer") {
            val fixture = Fixture()
            (fixture.completeAdmission(TokenAnswer.Granted, 10) as Admission.Admitted).cost shouldBe 200
            (fixture.completeAdmission(TokenAnswer.Refused(700), 10) as Admission.Refused).retryAfterMs shouldBe 700
            fixture.admitted() shouldBe 0
            // The share is emptied by each answer from another instance, so it refills from the last one on.
            (fixture.completeAdmission(TokenAnswer.NoAnswer, 20) as Admission.Refused).status shouldBe 429
            (fixture.completeAdmission(TokenAnswer.NoAnswer, 900) is Admission.Admitted) shouldBe true
            fixture.admitted() shouldBe 200
        }

        test("a call whose key is withdrawn while it waits for tokens is refused, and its tokens are returned") {
            val fixture = Fixture()
            val outcome = fixture.completeAdmission(TokenAnswer.Granted, 10) { fixture.configuration = configurationWith("key-2") }
            (outcome as Admission.Refused).status shouldBe 401
            fixture.admitted() shouldBe -200
        }

        test("a process that was suspended while a call waited for tokens refuses it, because the keys may be outdated") {
            val fixture = Fixture()
            (fixture.completeAdmission(TokenAnswer.Granted, 6_000) as Admission.Refused).status shouldBe 503
            fixture.admitted() shouldBe -200
        }
    })
