/*
 * Faults that a proof can bring about on a running fleet, alone or in pairs.
 */
package io.skylarkstile.tests.proof

import kotlin.random.Random

/** One fault; [heal] ends it and leaves the fleet able to recover. */
internal interface Fault {
    val name: String

    suspend fun bring()

    suspend fun heal()
}

private class SimpleFault(
    override val name: String,
    private val onBring: suspend () -> Unit,
    private val onHeal: suspend () -> Unit = {},
) : Fault {
    override suspend fun bring() = onBring()

    override suspend fun heal() = onHeal()

    override fun toString() = name
}

/** Creates each fault once; those of an instance meet one that [random] picks, `cut` and `pause` never the same one. */
internal fun ProofFleet.faults(random: Random): List<Fault> {
    val (first, second) = entries.shuffled(random)
    return listOf(
        SimpleFault("pause ${first.name}", { first.process.pause() }, { first.process.resume() }),
        SimpleFault("kill ${second.name}", { second.process.kill() }, { second.process.start().awaitReady() }),
        cut("peers-${second.name}"),
        cut("platform-${second.name}"),
        cut("target-${engine.name}"),
        SimpleFault("silence peers of ${second.name}", { link("peers-${second.name}", """"silence":"both"""") }),
        SimpleFault("silence engine", { link("target-${engine.name}", """"silence":"fromTarget"""") }),
        SimpleFault("platform down", { platform("unavailable") }, { platform("none") }),
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

private fun ProofFleet.cut(name: String): Fault =
    SimpleFault("cut $name", { link(name, """"cut":true""") }, { link(name, """"heal":true,"cut":false""") })

private suspend fun ProofFleet.link(
    name: String,
    fault: String,
) = fleet.proxy.set("""{"links":["$name"],$fault}""")

private suspend fun ProofFleet.platform(outage: String) = fleet.objects.set("""{"outage":"$outage"}""")
