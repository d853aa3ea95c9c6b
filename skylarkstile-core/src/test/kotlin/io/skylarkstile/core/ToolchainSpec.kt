package io.skylarkstile.core

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class ToolchainSpec :
    FunSpec({
        test("runs") { 1 + 1 shouldBe 2 }
    })
