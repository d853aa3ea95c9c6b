/*
 * Guards against a settings page that differs from the schema it is generated from.
 */
package io.skylarkstile.config

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.skylarkstile.config.reference.settingsReference
import java.nio.file.Files
import java.nio.file.Path

class SettingsReferenceSpec :
    FunSpec({
        test("docs/SETTINGS.md matches the schema") {
            withClue("run bin/settings-reference and commit the page") {
                Files.readString(Path.of("../docs/SETTINGS.md")) shouldBe settingsReference()
            }
        }
    })
