/*
 * Notices that this process stood still. The steady clock doesn't count the time of a suspended machine, so leases measured by it would
 * seem valid; the time of day counts it, but may jump. A difference between the two is treated as a suspension either way.
 */
package io.skylarkstile.gateway.admission

import kotlin.math.abs

/** Time of day and steady time may drift this far apart between two checks; timers fire a little late. */
private const val TOLERATED_DRIFT_MS = 300L

/** Compares the two clocks at each [check]. */
class SuspensionDetector(
    private var steadyAt: Long,
    private var wallAt: Long,
) {
    /** Returns true when the clocks have moved apart since the last check. */
    fun check(
        steady: Long,
        wall: Long,
    ): Boolean {
        val apart = abs((wall - wallAt) - (steady - steadyAt))
        steadyAt = steady
        wallAt = wall
        return apart > TOLERATED_DRIFT_MS
    }
}
