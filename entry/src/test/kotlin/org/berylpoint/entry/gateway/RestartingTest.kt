package org.berylpoint.entry.gateway

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest

@OptIn(ExperimentalCoroutinesApi::class)
class RestartingTest :
    FunSpec({
        // Guards against a process that goes on without its feeds or duties after one unexpected input.
        test("a task that fails starts again, with a pause") {
            runTest {
                var runs = 0
                restarting(DecisionLog(), "task") {
                    if (++runs < 3) error("unexpected")
                }
                runs shouldBe 3
                (currentTime > 0) shouldBe true
            }
        }

        test("a task that is cancelled does not start again") {
            runTest {
                var runs = 0
                shouldThrow<CancellationException> {
                    restarting(DecisionLog(), "task") {
                        runs++
                        throw CancellationException("stopping")
                    }
                }
                runs shouldBe 1
            }
        }
    })
