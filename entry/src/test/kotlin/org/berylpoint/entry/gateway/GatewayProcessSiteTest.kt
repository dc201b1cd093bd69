package org.berylpoint.entry.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import org.berylpoint.platform.sample.SampleSite
import java.net.HttpURLConnection
import java.net.URI
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.seconds

class GatewayProcessSiteTest :
    FunSpec({
        // Guards against departures and configurations that are not learned while the work of requests, or the locks
        // that it holds, keep the shared workers busy (DRAIN, CONFIG).
        test("an instance learns of its site while all shared workers are busy") {
            SampleSite().use { site ->
                val ports = Ports.free()
                val process = GatewayProcess(ports.settings(site), System::currentTimeMillis)
                val isReleased = CountDownLatch(1)
                try {
                    repeat(SHARED_WORKERS) { CoroutineScope(Dispatchers.Default).launch { isReleased.await() } }
                    process.start()
                    eventually(10.seconds) { readyStatus(ports.ready) shouldBe 200 }
                } finally {
                    isReleased.countDown()
                    process.stop()
                    process.close()
                }
            }
        }
    })

/** At least as many as the default dispatcher has. */
private val SHARED_WORKERS = maxOf(2, Runtime.getRuntime().availableProcessors())

private fun readyStatus(port: Int): Int {
    val connection = URI("http://127.0.0.1:$port/").toURL().openConnection() as HttpURLConnection
    return connection.responseCode
}
