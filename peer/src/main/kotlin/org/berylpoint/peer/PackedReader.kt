package org.berylpoint.peer

import kotlinx.serialization.SerializationException
import java.nio.ByteBuffer

/** Reads the packed form of one report from [bytes], whose end throws [java.nio.BufferUnderflowException]. */
internal class PackedReader(private val bytes: ByteBuffer) {
    private var names = emptyList<String>()

    fun readInto(report: NodeReport): NodeReport {
        val version = bytes.get().toInt()
        if (version != PackedForm.VERSION) throw SerializationException("the packed form has the version $version")
        names = list { text() }
        val loads = list { bytes.getInt() to ServerLoad(int(), number() * PackedForm.TOKEN_UNIT) }
        val admitted = list { name() to number().toDouble() }
        return report.copy(
            hashedLoads = ServerLoads(loads.toMap()),
            admitted = report.admitted + admitted,
            usage = list { WindowPart(number(), list { name() to number() }.toMap()) },
            demands = list { DemandPart(name(), number(), number(), number()) },
            queues = list { name().let { service -> list { queue(service) } } }.flatten(),
            crashes = report.crashes + list { fingerprint() to int() },
            crashTotals = report.crashTotals + list { CrashTotalPart(fingerprint(), int(), number()) },
            windowTotals = list { name() to number().toDouble() }.toMap(),
            settledUsage = list {
                SettledPart(number(), list { name() to number() }.toMap(), isReported = number() > 0)
            },
        )
    }

    private fun fingerprint(): String = ByteArray(PackedForm.FINGERPRINT_BYTES).also(bytes::get).toHexString()

    private fun queue(service: String) = QueuePart(
        service = service,
        rank = int(),
        workspace = int().let { if (it == 0) null else names[it - 1] },
        running = int(),
        waiting = number() / PackedForm.SLOT_UNITS,
        refused = number() / PackedForm.SLOT_UNITS,
    )

    private fun text(): String {
        val size = int()
        if (size > bytes.remaining()) throw SerializationException("a name of $size bytes is longer than the report")
        return ByteArray(size).also(bytes::get).decodeToString()
    }

    private fun <T> list(item: () -> T): List<T> {
        val size = int()
        // Each item takes a byte at least.
        if (size > bytes.remaining()) throw SerializationException("a list of $size items is longer than the report")
        return List(size) { item() }
    }

    private fun name(): String = names[int()]

    private fun int(): Int = number().also {
        if (it > Int.MAX_VALUE) throw SerializationException("the number $it is too large")
    }.toInt()

    private fun number(): Long {
        var value = 0L
        for (shift in 0 until PackedForm.MAX_BITS step PackedForm.BITS_PER_BYTE) {
            val byte = bytes.get().toInt()
            value = value or ((byte.toLong() and PackedForm.LOW_BITS) shl shift)
            if (byte and PackedForm.MORE_BIT == 0) return value
        }
        throw SerializationException("a number is too long")
    }
}
