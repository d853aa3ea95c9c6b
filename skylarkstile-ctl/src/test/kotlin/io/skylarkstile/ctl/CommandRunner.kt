/*
 * Runs command lines against a [FakeStore] and captures their output.
 */
package io.skylarkstile.ctl

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.skylarkstile.ctl.command.Console
import io.skylarkstile.ctl.main.run
import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpClient
import io.skylarkstile.transport.http.HttpFailure
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.wholeAnswer
import java.nio.file.Files
import java.nio.file.Path

internal class CommandRunner(
    val store: FakeStore = FakeStore(),
    private val http: HttpClient = RefusingHttp,
) {
    val out = mutableListOf<String>()
    val err = mutableListOf<String>()

    suspend fun call(vararg args: String): Int = runArguments(listOf("--platform", "127.0.0.1:1") + args)

    suspend fun runArguments(args: List<String>): Int {
        out.clear()
        err.clear()
        return run(args.toTypedArray(), Console(out::add, err::add), http) { _, _ -> store }.code
    }

    suspend fun apply(text: String): Int = call("apply", file(text).toString())
}

internal fun file(text: String): Path = Files
    .createTempFile("records", ".ini")
    .also {
        Files.writeString(it, text)
    }.also { it.toFile().deleteOnExit() }

internal open class FakeHttp(
    private val answer: () -> Result<HttpAnswer, HttpFailure>,
) : HttpClient {
    override suspend fun call(
        address: String,
        request: HttpRequest,
        idleTimeoutMs: Long,
        idempotent: Boolean,
        beforeSend: () -> Boolean,
    ) = answer()

    override fun close() = Unit
}

internal object RefusingHttp : FakeHttp({ Err(HttpFailure.NotSent("refused")) })

/** Answers every call like a ready instance whose dump cannot be parsed. */
internal object ReadyInstances : FakeHttp({ Ok(wholeAnswer(200, "text/plain", "ready".toByteArray())) })

internal val records =
    """
    [workspace glass-cairo]
    schemaVersion = 1
    rate = 3
    burst = 6
    [target engine-1]
    schemaVersion = 1
    type = engine
    address = 127.0.0.1:9001
    dataCentre = cairo-a
    baseModel = plate-7b
    [adapter caption-fr]
    schemaVersion = 1
    workspace = glass-cairo
    baseModel = plate-7b
    activeVersion = v1
    [version caption-fr@v1]
    schemaVersion = 1
    adapter = caption-fr
    path = /weights/caption-fr/v1
    [route captions]
    schemaVersion = 1
    type = model
    workspace = glass-cairo
    adapter = caption-fr
    """.trimIndent()
