/*
 * Aggregates a run by second and plots it as PNG files with XChart.
 */
package io.skylarkstile.bench.report

import io.skylarkstile.bench.load.CallEnd
import io.skylarkstile.bench.load.CallRecord
import kotlinx.serialization.Serializable
import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.XYChart
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.style.markers.SeriesMarkers
import java.nio.file.Path

/** Measures of one second of a run; an entry of `timeline.json`. */
@Serializable
data class TimelinePoint(
    val second: Int,
    val requests: Int,
    val complete: Int,
    val refused: Int,
    val failed: Int,
    val firstTokenP95Ms: Double,
)

/** Aggregates [records] by the second in which the requests arrived. */
fun timelineOf(records: List<CallRecord>): List<TimelinePoint> = records
    .groupBy { (it.arrival.atMs / MS_PER_SECOND).toInt() }
    .toSortedMap()
    .map { (second, inSecond) ->
        TimelinePoint(
            second = second,
            requests = inSecond.size,
            complete = inSecond.count { it.end == CallEnd.Complete },
            refused = inSecond.count { it.end == CallEnd.Refused },
            failed = inSecond.count { it.end != CallEnd.Complete && it.end != CallEnd.Refused },
            firstTokenP95Ms = percentiles(inSecond.mapNotNull { it.firstTokenMs }).p95,
        )
    }

/** Writes `answers.png` and `first-token.png` into [directory]. */
fun writePlots(
    timeline: List<TimelinePoint>,
    title: String,
    directory: Path,
) {
    val seconds = timeline.map { it.second }
    val answers = chart("$title: answers", "requests per second")
    answers.addLine("complete", seconds, timeline.map { it.complete })
    answers.addLine("refused", seconds, timeline.map { it.refused })
    answers.addLine("failed", seconds, timeline.map { it.failed })
    save(answers, directory.resolve("answers.png"))
    val firstToken = chart("$title: first token", "p95 in ms")
    firstToken.addLine("p95", seconds, timeline.map { it.firstTokenP95Ms })
    save(firstToken, directory.resolve("first-token.png"))
}

private fun chart(
    title: String,
    yAxis: String,
): XYChart = XYChartBuilder()
    .width(CHART_WIDTH)
    .height(CHART_HEIGHT)
    .title(title)
    .xAxisTitle("seconds")
    .yAxisTitle(yAxis)
    .build()

private fun XYChart.addLine(
    name: String,
    seconds: List<Int>,
    values: List<Number>,
) {
    addSeries(name, seconds, values).marker = SeriesMarkers.NONE
}

private fun save(
    chart: XYChart,
    file: Path,
) = BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG)

private const val MS_PER_SECOND = 1_000
private const val CHART_WIDTH = 900
private const val CHART_HEIGHT = 400
