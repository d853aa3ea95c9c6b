/*
 * Detects that this process was suspended. The monotonic clock stops while a machine is suspended, so leases measured with it would still
 * look valid; the wall clock keeps counting but may jump. Any drift between the two is treated as a suspension.
 */
package io.skylarkstile.gateway.admission

import kotlin.math.abs

/** Accepted drift between the two clocks from one check to the next, in milliseconds; timers fire a little late. */
private const val MAX_DRIFT_MS = 300L

/** Compares the monotonic clock with the wall clock at each [check]; times are in milliseconds. */
class SuspensionDetector(
    private var lastMonotonic: Long,
    private var lastWall: Long,
) {
    /** Returns true if the clocks have drifted apart since the last check. */
    fun check(
        monotonic: Long,
        wall: Long,
    ): Boolean {
        val drift = abs((wall - lastWall) - (monotonic - lastMonotonic))
        lastMonotonic = monotonic
        lastWall = wall
        return drift > MAX_DRIFT_MS
    }
}
