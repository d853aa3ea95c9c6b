/*
 * Builders of sample values, a manual scheduler and a runner of seeded tests, for the tests of the gateway.
 */
package io.skylarkstile.gateway

import io.kotest.assertions.withClue
import io.skylarkstile.gateway.main.Scheduler
import io.skylarkstile.gateway.main.Timer
import io.skylarkstile.gateway.model.AdapterName
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.model.CallerLimits
import io.skylarkstile.gateway.model.Configuration
import io.skylarkstile.gateway.model.Repeatability
import io.skylarkstile.gateway.model.Route
import io.skylarkstile.gateway.model.Service
import io.skylarkstile.gateway.model.TargetEntry
import io.skylarkstile.gateway.model.WeightedService
import io.skylarkstile.gateway.model.Workspace
import io.skylarkstile.gateway.target.TargetState
import java.net.InetSocketAddress
import java.util.PriorityQueue
import kotlin.random.Random

fun adapter(
    name: String,
    version: Long = 1,
) = AdapterVersion(AdapterName("base", name), version)

fun entry(
    id: String,
    slots: Int = 10,
    dataCentre: String = "dc-1",
    isReady: Boolean = true,
    startedAt: Long = 1,
    service: String = "models",
    port: Int = 1_000,
) = TargetEntry(id, service, InetSocketAddress("127.0.0.1", port), dataCentre, slots, isReady, startedAt, emptySet())

fun target(
    id: String,
    slots: Int = 10,
    dataCentre: String = "dc-1",
) = TargetState(entry(id, slots, dataCentre)).apply { orderableUntil = Long.MAX_VALUE }

fun route(
    prefix: String,
    repeatability: Repeatability = Repeatability.Safe,
    host: String = "host.example",
    isPublic: Boolean = false,
    maxAttempts: Int = 2,
    service: String = "plain",
    timeoutMs: Long = 1_000,
) = Route("r$prefix", host, prefix, repeatability, timeoutMs, 100, 0, listOf(WeightedService(service, 1)), maxAttempts, isPublic)

fun configuration(
    routes: List<Route>,
    workspaces: List<Workspace>? = null,
    services: List<Service> = listOf(Service("plain", 100, null)),
    revision: Long = 1,
) = Configuration(revision, 1, routes, services.associateBy { it.name }, workspaces, CallerLimits(16_384, 1_048_576, 3_000, 15_000))

/** A scheduler whose clock moves only in [advance], which runs the due actions in order. */
class ManualScheduler : Scheduler {
    private class Pending(
        val at: Long,
        val sequence: Long,
        val action: () -> Unit,
    )

    private val pending = PriorityQueue<Pending>(compareBy({ it.at }, { it.sequence }))
    private var time = 0L
    private var nextSequence = 0L

    override fun now(): Long = time

    override fun after(
        delayMs: Long,
        action: () -> Unit,
    ): Timer {
        val entry = Pending(time + delayMs, nextSequence++, action)
        pending.add(entry)
        return Timer { pending.remove(entry) }
    }

    fun advance(ms: Long) {
        val end = time + ms
        while (true) {
            val next = pending.peek()?.takeIf { it.at <= end } ?: break
            pending.poll()
            time = maxOf(time, next.at)
            next.action()
        }
        time = end
    }
}

/**
 * Runs [run] with [count] fixed seeds, so that the result is reproducible, and with the seeds [known] to have failed before. If the
 * environment variable FRESH_SEEDS is set to a number, that many random seeds are run and printed instead.
 */
fun forEachSeed(
    count: Int,
    known: List<Int> = emptyList(),
    run: (Int) -> Unit,
) {
    val fresh = System.getenv("FRESH_SEEDS")?.toInt()
    val seeds = if (fresh == null) known + (1..count) else List(fresh) { Random.nextInt() }
    seeds.forEach { seed ->
        withClue("seed $seed") { run(seed) }
        if (fresh != null) println("seed $seed passed")
    }
}
