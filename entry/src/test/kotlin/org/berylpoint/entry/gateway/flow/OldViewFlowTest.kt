package org.berylpoint.entry.gateway.flow

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.milliseconds

/** Requests at an instance whose view of the site is old. */
class OldViewFlowTest :
    FunSpec({
        // Guards against requests that are sent to servers, or with keys, that are gone (DRAIN, CONFIG): the caller is
        // told at once that nothing ran, so that it can go to another instance.
        test("a request is refused as not run while the view is out of date") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.isViewOutOfDate = true
                val caller = RecordingCaller("/book/1")
                fixture.flow.serve(caller)
                caller.status shouldBe 503
                caller.header("Retry-After") shouldNotBe null
                fixture.sent.size shouldBe 0
            }
        }

        // Guards against a request that was admitted by a current view, and is sent seconds later by an old one.
        test("a request that waits to be sent is refused as not run when the view goes out of date") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.sendDelayMillis = 100
                val caller = RecordingCaller("/look/1")
                val serving = launch { fixture.flow.serve(caller) }
                delay(50.milliseconds)
                fixture.isViewOutOfDate = true
                serving.join()
                caller.status shouldBe 503
                fixture.sent.size shouldBe 0
            }
        }

        // Guards against callers that are turned away for good by a configuration that is out of force (CONFIG).
        for ((what, path, headers) in listOf(
            Triple("an unknown route", "/new/1", emptyList()),
            Triple("an unknown key", "/book/1", listOf("Authorization" to "Bearer new")),
        )) {
            test("$what is no final refusal while the view is old") {
                runTest {
                    val fixture = RequestFlowFixture(this)
                    val current = RecordingCaller(path, headers = headers)
                    fixture.flow.serve(current)
                    current.header("Retry-After") shouldBe null
                    fixture.isViewOld = true
                    val old = RecordingCaller(path, headers = headers)
                    fixture.flow.serve(old)
                    old.status shouldBe 503
                    old.header("Retry-After") shouldNotBe null
                }
            }
        }

        test("known routes and keys are served while the view is old and nobody knows better") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.isViewOld = true
                fixture.scripts += okResponse()
                val caller = RecordingCaller("/look/1")
                fixture.flow.serve(caller)
                caller.status shouldBe 200
            }
        }
    })
