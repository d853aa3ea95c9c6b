/*
 * Faults that a spec can inject into a running fleet, alone or in pairs.
 */
package io.skylarkstile.tests.proof

import kotlin.random.Random

/** A fault that can be injected; [heal] ends it and lets the fleet recover. */
internal interface Fault {
    val name: String

    suspend fun inject()

    suspend fun heal()
}

private class SimpleFault(
    override val name: String,
    private val onInject: suspend () -> Unit,
    private val onHeal: suspend () -> Unit = {},
) : Fault {
    override suspend fun inject() = onInject()

    override suspend fun heal() = onHeal()

    override fun toString() = name
}

/** Creates one fault of each kind. [random] picks two different instances, one to pause and one to kill or to disconnect. */
internal fun ProofFleet.faults(random: Random): List<Fault> {
    val (first, second) = entries.shuffled(random)
    return listOf(
        SimpleFault("pause ${first.name}", { first.process.pause() }, { first.process.resume() }),
        SimpleFault("kill ${second.name}", { second.process.kill() }, { second.process.start().awaitReady() }),
        disconnect("peers-${second.name}"),
        disconnect("platform-${second.name}"),
        disconnect("target-${engine.name}"),
        SimpleFault("silence peers of ${second.name}", { setLink("peers-${second.name}", """"silence":"both"""") }),
        SimpleFault("silence engine", { setLink("target-${engine.name}", """"silence":"fromTarget"""") }),
        SimpleFault("platform down", { setOutage("unavailable") }, { setOutage("none") }),
        SimpleFault("platform slow", { fleet.objects.set("""{"delayMs":400}""") }, { fleet.objects.set("""{"delayMs":1}""") }),
        SimpleFault("platform answers lost", { fleet.objects.set("""{"loseAnswers":5,"loseMode":"silent"}""") }),
        SimpleFault("engine restarts empty", { engine.control.set("""{"action":"restart"}""") }),
        SimpleFault(
            "loads fail",
            { engine.control.set("""{"action":"restart","failLoads":2}""") },
            { engine.control.set("""{"failLoads":0}""") },
        ),
        SimpleFault("service answers lost", { services.forEach { it.control.set("""{"dropAfter":3}""") } }),
    )
}

private fun ProofFleet.disconnect(name: String): Fault =
    SimpleFault("cut $name", { setLink(name, """"cut":true""") }, { setLink(name, """"heal":true,"cut":false""") })

private suspend fun ProofFleet.setLink(
    name: String,
    fault: String,
) = fleet.proxy.set("""{"links":["$name"],$fault}""")

private suspend fun ProofFleet.setOutage(outage: String) = fleet.objects.set("""{"outage":"$outage"}""")
