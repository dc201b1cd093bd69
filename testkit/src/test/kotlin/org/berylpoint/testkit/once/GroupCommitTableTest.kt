package org.berylpoint.testkit.once

import arrow.core.left
import arrow.core.right
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.berylpoint.entry.once.GroupCommitTable
import org.berylpoint.platform.PlatformError
import org.berylpoint.platform.RowKey
import org.berylpoint.platform.RowWrite
import org.berylpoint.testkit.standin.Fault
import org.berylpoint.testkit.standin.MemoryTable

class GroupCommitTableTest :
    FunSpec({
        fun put(sort: String, expected: Long? = 0, value: String = "v-$sort") =
            RowWrite.Put(RowKey("p", sort), value, expected)

        fun TestScope.grouped(table: MemoryTable) = GroupCommitTable(table, backgroundScope, testScheduler.timeSource)

        test("concurrent calls share transactions of at most 100 writes") {
            runTest {
                val table = MemoryTable()
                val grouped = grouped(table)
                List(250) { async { grouped.transact(listOf(put("$it"))) } }.awaitAll().toSet() shouldBe
                    setOf(Unit.right())
                table.transactions shouldBe 3
            }
        }

        test("a failed condition fails only its own call, with the positions of the writes in that call") {
            runTest {
                val table = MemoryTable()
                table.transact(listOf(put("taken")))
                val grouped = grouped(table)
                val results = listOf(
                    async { grouped.transact(listOf(put("a"), put("b"))) },
                    async { grouped.transact(listOf(put("c"), put("taken"))) },
                    async { grouped.transact(listOf(put("d"))) },
                ).awaitAll()
                results shouldBe listOf(
                    Unit.right(),
                    PlatformError.ConditionFailed(listOf(1)).left(),
                    Unit.right(),
                )
                table.content.keys.map { it.sort }.toSet() shouldBe setOf("taken", "a", "b", "d")
            }
        }

        test("calls that write the same row run in separate transactions, in call order") {
            runTest {
                val table = MemoryTable()
                val grouped = grouped(table)
                List(5) { async { grouped.transact(listOf(put("row", it.toLong(), "value $it"))) } }.awaitAll()
                    .toSet() shouldBe setOf(Unit.right())
                table.content.values.single().value shouldBe "value 4"
            }
        }

        test("one invalid call does not fail the others") {
            runTest {
                val table = MemoryTable()
                val grouped = grouped(table)
                val results = listOf(
                    async { grouped.transact(listOf(put("a"))) },
                    async { grouped.transact(listOf(put("twice"), put("twice"))) },
                    async { grouped.transact(listOf(put("b"))) },
                ).awaitAll()
                results[0] shouldBe Unit.right()
                results[1].leftOrNull().shouldBeInstanceOf<PlatformError.Invalid>()
                results[2] shouldBe Unit.right()
            }
        }

        test("a transaction whose response was lost is confirmed by a read and takes effect only once") {
            runTest {
                val table = MemoryTable()
                val grouped = grouped(table)
                table.faults.loseNextAnswers(1)
                grouped.transact(listOf(put("a"))) shouldBe Unit.right()
                table.content.values.single().version shouldBe 1
            }
        }

        test("a lost transaction is repeated until it takes effect") {
            runTest {
                val table = MemoryTable()
                val grouped = grouped(table)
                var lost = 2
                table.faults.rule = { if (it.isWrite && lost-- > 0) Fault.CALLS_LOST else Fault.NONE }
                grouped.transact(listOf(put("a"))) shouldBe Unit.right()
            }
        }

        test("an unresolvable outcome is reported as NoAnswer, not as a failure without effect") {
            runTest {
                val table = MemoryTable()
                val grouped = grouped(table)
                var writes = 0
                // The first write takes effect but its response is lost; after that the service refuses connections.
                table.faults.rule = { if (it.isWrite && writes++ == 0) Fault.ANSWERS_LOST else Fault.DOWN }
                grouped.transact(listOf(put("a"))).leftOrNull().shouldBeInstanceOf<PlatformError.NoAnswer>()
            }
        }
    })
