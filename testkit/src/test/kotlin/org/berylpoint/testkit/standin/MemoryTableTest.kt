package org.berylpoint.testkit.standin

import arrow.core.left
import arrow.core.right
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.berylpoint.model.InstanceId
import org.berylpoint.platform.PlatformError
import org.berylpoint.platform.Row
import org.berylpoint.platform.RowKey
import org.berylpoint.platform.RowWrite
import kotlin.time.Duration.Companion.seconds

class MemoryTableTest :
    FunSpec({
        val key = RowKey("p", "s")
        val other = RowKey("p", "t")

        test("a transaction with a failed condition writes nothing and names the failed writes") {
            runTest {
                val table = MemoryTable()
                table.transact(listOf(RowWrite.Put(key, "a", 0))) shouldBe Unit.right()
                table.transact(listOf(RowWrite.Put(other, "b", 0), RowWrite.Put(key, "b", 0))) shouldBe
                    PlatformError.ConditionFailed(listOf(1)).left()
                table.content shouldBe mapOf(key to Row(key, 1, "a"))
            }
        }

        test("a caller that is cut off fails while others are served") {
            runTest {
                val table = MemoryTable()
                table.faults[InstanceId("a")] = Fault.DOWN
                table.caller(InstanceId("a")).get(key).leftOrNull().shouldBeInstanceOf<PlatformError.Unavailable>()
                table.caller(InstanceId("b")).get(key) shouldBe null.right()
                table.faults.count("get", InstanceId("a")) shouldBe 1
            }
        }

        test("a write whose answer is lost has taken effect") {
            runTest {
                val table = MemoryTable()
                table.faults.loseNextAnswers(1)
                table.transact(listOf(RowWrite.Put(key, "a", 0))).leftOrNull()
                    .shouldBeInstanceOf<PlatformError.NoAnswer>()
                table.content.keys shouldBe setOf(key)
            }
        }

        test("a write slower than the call timeout takes effect after its caller gave up") {
            runTest {
                val table = MemoryTable(backgroundScope)
                table.faults.all = Fault.slow(5.seconds)
                table.transact(listOf(RowWrite.Put(key, "a", 0))).leftOrNull()
                    .shouldBeInstanceOf<PlatformError.NoAnswer>()
                table.content.keys shouldBe emptySet()
                delay(4.seconds)
                table.content.keys shouldBe setOf(key)
            }
        }
    })
