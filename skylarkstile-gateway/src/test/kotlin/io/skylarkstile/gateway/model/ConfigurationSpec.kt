/*
 * Guards against calls to a route or service, or for a workspace, that the configuration doesn't allow.
 */
package io.skylarkstile.gateway.model

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.skylarkstile.gateway.admission.Admission
import io.skylarkstile.gateway.admission.CallAdmission
import io.skylarkstile.gateway.admission.Freshness
import io.skylarkstile.gateway.admission.QuotaTolerance
import io.skylarkstile.gateway.admission.SuspensionDetector
import io.skylarkstile.gateway.admission.WorkspaceShares
import io.skylarkstile.gateway.configuration
import io.skylarkstile.gateway.route

private fun call(
    uri: String,
    key: String? = null,
    host: String = "host.example",
) = CallHead("id", HttpMethod.GET, uri, host, DefaultHttpHeaders(), key, 1_000, null, null, 0, 0, false, null)

class ConfigurationSpec :
    FunSpec({
        val configuration =
            configuration(
                listOf(route("/a/"), route("/a/b/"), route("/open/", isPublic = true)),
                listOf(Workspace("w", listOf("key-1", "key-2"), null, null)),
            )

        test("the longest matching path prefix wins, on whole path segments and for its own host only") {
            configuration.routeOrNull("host.example", "/a/b/c")?.pathPrefix shouldBe "/a/b/"
            configuration.routeOrNull("host.example", "/a/bc/d")?.pathPrefix shouldBe "/a/"
            configuration.routeOrNull("host.example", "/a") shouldBe null
            configuration.routeOrNull("other.example", "/a/b/") shouldBe null
            configuration.routeOrNull("host.example", "") shouldBe null
        }

        // Only places were counted, so a target with large adapters was ordered to load more than its memory holds, and crashed.
        test("a target holds as many adapters as have a place and fit into its memory beside its base models") {
            fun engine(
                weightsMb: Double,
                vararg models: BaseModel,
            ) = Engine(8, 1_000, 13, weightsMb, 1.0, models.toList())
            val large = BaseModel("m", 65_100.0, 200.0, 1_900)
            val small = BaseModel("n", 1_000.0, 100.0, 1_900)
            engine(66_600.0, large).maxAdapters(setOf("m")) shouldBe 7
            engine(66_500.0, large.copy(weightsMb = 65_099.99999999999)).maxAdapters(setOf("m")) shouldBe 7
            engine(66_500.0, large.copy(weightsMb = 65_100.00000000001)).maxAdapters(setOf("m")) shouldBe 7
            engine(66_499.0, large).maxAdapters(setOf("m")) shouldBe 6
            engine(90_000.0, large).maxAdapters(setOf("m")) shouldBe 13
            engine(65_100.0, large).maxAdapters(setOf("m")) shouldBe 0
            engine(60_000.0, large).maxAdapters(setOf("m")) shouldBe 0
            // The target may be loading its first base model.
            engine(66_600.0, large).maxAdapters(emptySet()) shouldBe 7
            engine(67_600.0, large, small).maxAdapters(setOf("m", "n")) shouldBe 7
            engine(2_000.0, large, small).maxAdapters(setOf("n")) shouldBe 10
            engine(0.0, large).maxAdapters(setOf("m")) shouldBe 13
            engine(66_600.0, large.copy(adapterMb = 0.0)).maxAdapters(setOf("m")) shouldBe 13
            engine(66_600.0, large.copy(adapterMb = -1.0)).maxAdapters(setOf("m")) shouldBe 13
        }

        test("except on a public route, a call needs a known key, and keys that are known to be up to date") {
            val freshness = Freshness(4_000)
            val admission = CallAdmission(WorkspaceShares(QuotaTolerance(0.0, 0.0, 8_000)), freshness)

            fun statusOf(
                call: CallHead,
                now: Long,
            ) = when (val outcome = admission.admit(now, call, configuration)) {
                is Admission.Admitted -> outcome.workspace?.name ?: "public"
                is Admission.Refused -> "${outcome.status}"
                is Admission.PendingTokens -> "undecided"
            }
            statusOf(call("/a/", "key-1"), 0) shouldBe "503"
            freshness.confirm(0)
            statusOf(call("/a/", "key-1"), 4_000) shouldBe "w"
            statusOf(call("/a/", "key-1"), 4_001) shouldBe "503"
            statusOf(call("/a/", "key-3"), 100) shouldBe "401"
            statusOf(call("/a/"), 100) shouldBe "401"
            statusOf(call("/none/", "key-1"), 100) shouldBe "404"
            statusOf(call("/open/x"), 9_000) shouldBe "public"
            admission.admit(0, call("/a/"), null) shouldBe Admission.Refused(503, "no-configuration", 500)
        }

        // An empty list was taken for none, so all keys were accepted once the last workspace was withdrawn.
        test("a configuration without workspaces asks for no key, and one with an empty list of them accepts none") {
            val freshness = Freshness(4_000).apply { confirm(0) }
            val admission = CallAdmission(WorkspaceShares(QuotaTolerance(0.0, 0.0, 8_000)), freshness)
            val routes = configuration.routes
            (admission.admit(0, call("/a/"), configuration(routes, null)) is Admission.Admitted) shouldBe true
            listOf(null, "key-1", "").forEach { key ->
                (admission.admit(0, call("/a/", key), configuration(routes, emptyList())) as Admission.Refused).status shouldBe 401
            }
            (admission.admit(0, call("/open/x"), configuration(routes, emptyList())) is Admission.Admitted) shouldBe true
        }

        // After a suspension, calls in socket buffers are read before any timer fires, and the monotonic clock hasn't advanced.
        test("a call that waited during a suspension is refused until the keys are known to be up to date again") {
            val freshness = Freshness(4_000)
            val detector = SuspensionDetector(0, 1_000_000)
            var wall = 1_000_000L
            val admission =
                CallAdmission(WorkspaceShares(QuotaTolerance(0.0, 0.0, 8_000)), freshness) {
                    if (detector.check(50, wall)) freshness.invalidate(50)
                }
            freshness.confirm(0)
            wall += 50
            (admission.admit(50, call("/a/", "key-1"), configuration) is Admission.Admitted) shouldBe true
            wall += 10_000
            (admission.admit(50, call("/a/", "key-1"), configuration) as Admission.Refused).status shouldBe 503
        }
    })
