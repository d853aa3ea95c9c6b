package io.skylarkstile.core.limit

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

private val limits = QuotaLimits(Amount(20.0, 200.0), Amount(20.0, 200.0))

private fun filledAccount(members: Int = 2): ShareAccount = ShareAccount(0).apply {
    setLimits(limits, members)
    (0L..10_000L step 500L).forEach { advance(it, 3_000) }
}

class ShareAccountSpec :
    FunSpec({
        test("requests and tokens are charged together or not at all") {
            val account = filledAccount()
            account.reserve(10_000, Amount(1.0, 101.0)).shouldBeNull()
            account.stock shouldBe Amount(10.0, 100.0)
            account.reserve(10_000, Amount(1.0, 100.0)).shouldNotBeNull()
            account.stock shouldBe Amount(9.0, 0.0)
        }

        test("lent tokens occupy the lender's capacity until the loan is settled or has expired") {
            val account = filledAccount()
            account.lend(10_000, "b", 1, Amount(6.0, 0.0)) shouldBe Amount(6.0, 0.0)
            account.advance(10_900, 3_000)
            account.stock.requests shouldBe 4.0
            account.settled(10_900, "b", 1, Amount(2.0, 0.0))
            account.stock.requests shouldBe 6.0
            account.lend(10_900, "b", 2, Amount(6.0, 0.0))
            account.advance(11_900, 3_000)
            account.stock.requests shouldBe 4.0
            account.advance(12_000, 3_000)
            account.stock.requests shouldBe (5.0 plusOrMinus 1e-9)
            account.settled(12_000, "b", 2, Amount(6.0, 0.0))
            account.stock.requests shouldBe (5.0 plusOrMinus 1e-9)
        }

        test("capacity reserved for tokens in transit is not refilled, and an answer after 800 ms adds nothing") {
            val account = filledAccount()
            account.reserve(10_000, Amount(10.0, 100.0)).shouldNotBeNull()
            account.reserveCapacity(10_000, 1, Amount(8.0, 80.0))
            account.advance(10_700, 3_000)
            account.stock.requests shouldBe (2.0 plusOrMinus 1e-9)
            account.advance(10_800, 3_000)
            account.received(1, Amount(8.0, 80.0))
            account.stock.requests shouldBe (2.0 plusOrMinus 1e-9)
            account.reserveCapacity(10_800, 2, account.freeCapacity())
            account.received(2, Amount(8.0, 80.0))
            account.stock.requests shouldBe (10.0 plusOrMinus 1e-9)
        }

        test("a borrower does not use a loan 800 ms after its ask") {
            val account = filledAccount()
            account.borrow(10_100, "l", 1, 10_000, Amount(5.0, 0.0))
            account.advance(10_799, 3_000)
            account.available(10_799).requests shouldBe 15.0
            account.advance(10_800, 3_000)
            account.available(10_800).requests shouldBe 10.0
            account.takeSettlements() shouldBe listOf(Settlement("l", 1, Amount(5.0, 0.0)))
        }

        test("time without a lease adds no tokens and allows no admission") {
            val account = filledAccount()
            account.reserve(10_000, Amount(10.0, 100.0)).shouldNotBeNull()
            account.advance(10_000, 500)
            account.advance(14_000, 0)
            account.reserve(14_000, Amount(1.0, 0.0)).shouldBeNull()
            account.advance(15_000, 3_000)
            account.stock.requests shouldBe (5.0 plusOrMinus 1e-9)
        }

        test("a refund restores no more than a bucket charged with the actual cost would hold") {
            val account = filledAccount()
            val reservation = account.reserve(10_000, Amount(1.0, 100.0))!!
            account.advance(11_000, 3_000)
            account.stock.tokens shouldBe 100.0
            account.reserve(11_000, Amount(1.0, 100.0)).shouldNotBeNull()
            account.refund(reservation, Amount(0.0, 100.0))
            account.stock.tokens shouldBe 0.0
        }

        test("a refund restores the unused part while the bucket has room") {
            val account = filledAccount()
            val first = account.reserve(10_000, Amount(1.0, 60.0))!!
            val second = account.reserve(10_000, Amount(1.0, 40.0))!!
            account.advance(10_100, 3_000)
            account.refund(first, Amount(0.0, 50.0))
            account.stock.tokens shouldBe (60.0 plusOrMinus 1e-9)
            account.refund(second, Amount(0.0, 40.0))
            account.stock.tokens shouldBe (100.0 plusOrMinus 1e-9)
        }

        test("fewer members raise the capacity without adding tokens, more members discard stock at once") {
            val account = filledAccount()
            account.setLimits(limits, 1)
            account.stock.requests shouldBe 10.0
            account.setLimits(limits, 4)
            account.stock.requests shouldBe 5.0
        }

        test("a restarted account is empty and refills only after the loans of its previous process have expired") {
            val account = ShareAccount(0).apply { setLimits(limits, 2) }
            account.advance(0, 3_000)
            account.advance(1_000, 3_000)
            account.stock shouldBe Amount.NONE
            account.advance(1_500, 3_000)
            account.stock.requests shouldBe (5.0 plusOrMinus 1e-9)
        }

        test("the account of a rejoined instance refills only after the loans that others granted under their larger shares have expired") {
            val account = filledAccount()
            account.reset(10_000)
            account.advance(11_000, 3_000)
            account.stock shouldBe Amount.NONE
            account.advance(11_500, 3_000)
            account.stock.requests shouldBe (5.0 plusOrMinus 1e-9)
        }
    })
