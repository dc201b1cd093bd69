package org.berylpoint.entry.gateway

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.berylpoint.platform.sample.SampleSite
import java.net.BindException
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

class BoundAddressesTest :
    FunSpec({
        test("addresses that are taken for a moment are bound once they are free") {
            runTest {
                SampleSite().use { site ->
                    val ports = Ports.free()
                    val readiness = ServerSocket(ports.ready, 1, InetAddress.getLoopbackAddress())
                    val reports = DatagramSocket(InetSocketAddress(InetAddress.getLoopbackAddress(), ports.report))
                    val bound = async { BoundAddresses.bind(ports.settings(site), DecisionLog()) }
                    delay(500.milliseconds)
                    readiness.close()
                    delay(500.milliseconds)
                    reports.close()
                    bound.await().use { it.http.readiness.socket().localPort shouldBe ports.ready }
                }
            }
        }

        // Guards against an instance that goes on without hearing its peers, since another has its port.
        test("an address for reports that stays taken is a failure that names it") {
            runTest {
                SampleSite().use { site ->
                    val ports = Ports.free()
                    DatagramSocket(InetSocketAddress(InetAddress.getLoopbackAddress(), ports.report)).use {
                        val settings = ports.settings(site)
                        val fault = shouldThrow<BindException> { BoundAddresses.bind(settings, DecisionLog()) }
                        fault.message shouldContain "127.0.0.1:${ports.report}"
                    }
                }
            }
        }

        // Guards against a process that hangs, alive and never ready, since one of its ports is taken (review/8: the
        // case could not run).
        test("a process whose readiness address stays taken ends, so that it is started again") {
            SampleSite().use { site ->
                val ports = Ports.free()
                ServerSocket(ports.ready, 1, InetAddress.getLoopbackAddress()).use {
                    val process = ports.startServing(site)
                    try {
                        process.waitFor(MAX_START_SECONDS, TimeUnit.SECONDS) shouldBe true
                        process.exitValue() shouldBe START_FAILED
                    } finally {
                        process.destroyForcibly()
                    }
                }
            }
        }
    })

/** Far longer than a start takes on a busy machine. */
private const val MAX_START_SECONDS = 120L

/** Exit code of a process that could not start. */
private const val START_FAILED = 3
