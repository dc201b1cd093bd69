package org.berylpoint.entry.gateway.server

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe

class ResponseMemoryTest :
    FunSpec({
        // Guards against a process that runs out of memory while many servers send without end.
        test("200 responses that grow without end stay within the memory together") {
            val memory = ResponseMemory(capacityBytes = 16_000_000)
            val growing = List(200) { memory.Account() }.toMutableList()
            var held = 0L
            while (growing.isNotEmpty()) {
                growing.toList().forEach {
                    it.take(PIECE_BYTES)
                    held += PIECE_BYTES
                    if (it.isOver(LIMIT_BYTES)) growing -= it
                }
            }
            held shouldBeLessThan 16_000_000 + 200L * PIECE_BYTES
        }

        test("an ordinary response finds room beside responses that grew as far as they may") {
            val memory = ResponseMemory(capacityBytes = 16_000_000)
            repeat(200) {
                val account = memory.Account()
                while (!account.isOver(LIMIT_BYTES)) account.take(PIECE_BYTES)
                account.giveBack(PIECE_BYTES)
            }
            memory.Account().run {
                take(800)
                isOver(LIMIT_BYTES) shouldBe false
            }
        }

        // Guards against a stream that is never read on, since nothing of it waits that its caller could take.
        test("a response that holds nothing is not over its part, however much others hold") {
            val memory = ResponseMemory(capacityBytes = 1_000)
            memory.Account().take(2_000)
            memory.Account().isOver(LIMIT_BYTES) shouldBe false
        }

        test("a closed account gives back all it took, and what is taken later does not count") {
            val memory = ResponseMemory(capacityBytes = 1_000)
            memory.Account().run {
                take(900)
                close()
                take(900)
            }
            memory.Account().run {
                take(400)
                isOver(LIMIT_BYTES) shouldBe false
            }
        }
    })

private const val PIECE_BYTES = 8_192
private const val LIMIT_BYTES = 8_000_000L
