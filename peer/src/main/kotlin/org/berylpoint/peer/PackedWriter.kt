package org.berylpoint.peer

import java.io.ByteArrayOutputStream
import java.nio.ByteBuffer
import kotlin.math.ceil

/** Writes the packed form of one report. */
internal class PackedWriter {
    private val names = LinkedHashMap<String, Long>()
    private val body = ByteArrayOutputStream()

    fun write(report: NodeReport): ByteArray {
        list(report.serverLoads.byHash.entries) { (hash, load) ->
            body.write(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(hash).array())
            number(load.active.toLong())
            number((load.pendingTokens + PackedForm.TOKEN_UNIT - 1) / PackedForm.TOKEN_UNIT)
        }
        list(report.admitted.entries) { (workspace, sum) ->
            name(workspace)
            number(sum.toLong())
        }
        list(report.usage) { part ->
            number(part.window)
            list(part.counts.entries) { (workspace, count) ->
                name(workspace)
                number(count)
            }
        }
        list(report.demands) {
            name(it.service)
            number(it.prefillTokens)
            number(it.outputTokens)
            number(it.refused)
        }
        list(report.queues.groupBy { it.service }.entries) { (service, parts) ->
            name(service)
            list(parts, ::queue)
        }
        list(report.crashes.entries) { (fingerprint, count) ->
            body.write(fingerprint.hexToByteArray())
            number(count.toLong())
        }
        list(report.crashTotals) {
            body.write(it.fingerprint.hexToByteArray())
            number(it.count.toLong())
            number(it.ageMillis)
        }
        list(report.windowTotals.entries) { (workspace, total) ->
            name(workspace)
            // Rounded up, since the receivers charge it to caps.
            number(ceil(total).toLong())
        }
        list(report.settledUsage) {
            number(it.window)
            list(it.counts.entries) { (workspace, count) ->
                name(workspace)
                number(count)
            }
            number(if (it.isReported) 1 else 0)
        }
        return withNames()
    }

    private fun queue(part: QueuePart) {
        number(part.rank.toLong())
        // 0 stands for no workspace.
        if (part.workspace == null) number(0) else number(numberOf(part.workspace) + 1)
        number(part.running.toLong())
        number(slotUnits(part.waiting))
        number(slotUnits(part.refused))
    }

    /** Rounded up, so that small demand does not disappear. */
    private fun slotUnits(slots: Double): Long = ceil(slots * PackedForm.SLOT_UNITS - ROUNDING_ERROR).toLong()

    private fun withNames(): ByteArray {
        val out = ByteArrayOutputStream()
        out.write(PackedForm.VERSION)
        number(names.size.toLong(), out)
        for (name in names.keys) {
            val bytes = name.encodeToByteArray()
            number(bytes.size.toLong(), out)
            out.write(bytes)
        }
        body.writeTo(out)
        return out.toByteArray()
    }

    private fun <T> list(items: Collection<T>, item: (T) -> Unit) {
        number(items.size.toLong())
        items.forEach(item)
    }

    private fun name(name: String) = number(numberOf(name))

    private fun numberOf(name: String): Long = names.getOrPut(name) { names.size.toLong() }

    private fun number(value: Long, out: ByteArrayOutputStream = body) {
        var rest = value.coerceAtLeast(0)
        while (rest > PackedForm.LOW_BITS) {
            out.write((rest and PackedForm.LOW_BITS).toInt() or PackedForm.MORE_BIT)
            rest = rest shr PackedForm.BITS_PER_BYTE
        }
        out.write(rest.toInt())
    }

    private companion object {
        const val ROUNDING_ERROR = 1e-6
    }
}
