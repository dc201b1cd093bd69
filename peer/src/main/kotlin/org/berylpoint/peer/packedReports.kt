/**
 * The packed form of a report: the parts that list servers, workspaces and services, in one byte string.
 *
 * Each name stands in it once and is referred to by its number. Numbers have seven bits in each byte, the lowest first.
 */
package org.berylpoint.peer

import kotlinx.serialization.SerializationException
import java.nio.BufferUnderflowException
import java.nio.ByteBuffer

/** The report with the parts of [NodeReport.packed] in that form, unless it is packed already. */
public fun NodeReport.pack(): NodeReport {
    if (packed.isNotEmpty()) return this
    // Sums of tokens and requests are whole and fingerprints have one form; what is otherwise stays in its place.
    val plainAdmitted = admitted.filterValues { it < 0 || it != it.toLong().toDouble() }
    val plainCrashes = crashes.filterKeys { !isFingerprint(it) }
    val plainTotals = crashTotals.filterNot { isFingerprint(it.fingerprint) }
    val rest = copy(
        admitted = admitted - plainAdmitted.keys,
        crashes = crashes - plainCrashes.keys,
        crashTotals = crashTotals - plainTotals.toSet(),
    )
    return copy(
        loads = emptyList(),
        hashedLoads = ServerLoads.NONE,
        admitted = plainAdmitted,
        usage = emptyList(),
        demands = emptyList(),
        queues = emptyList(),
        crashes = plainCrashes,
        crashTotals = plainTotals,
        windowTotals = emptyMap(),
        settledUsage = emptyList(),
        packed = PackedWriter().write(rest),
    )
}

private fun isFingerprint(text: String): Boolean =
    text.length == PackedForm.FINGERPRINT_BYTES * 2 && text.all { it in '0'..'9' || it in 'a'..'f' }

/** The report with the parts of [NodeReport.packed] in their own places. Throws [SerializationException]. */
internal fun NodeReport.unpack(): NodeReport {
    if (packed.isEmpty()) return this
    return try {
        PackedReader(ByteBuffer.wrap(packed)).readInto(this).copy(packed = NodeReport.NOT_PACKED)
    } catch (e: BufferUnderflowException) {
        throw SerializationException("the packed part of the report is cut off", e)
    } catch (e: IndexOutOfBoundsException) {
        throw SerializationException("the packed part of the report refers to a name that it does not list", e)
    }
}

/** Constants of the packed form. */
internal object PackedForm {
    const val VERSION = 1

    /** Tokens that wait for prefill are rounded up to a multiple of this, about two milliseconds of an engine. */
    const val TOKEN_UNIT = 128L

    /** Parts of a slot in which waiting and refused demand is counted. */
    const val SLOT_UNITS = 10.0
    const val BITS_PER_BYTE = 7
    const val LOW_BITS = 0x7FL
    const val MORE_BIT = 0x80
    const val MAX_BITS = 63

    /** Bytes of the fingerprint of a request, two hexadecimal digits each. */
    const val FINGERPRINT_BYTES = 8
}
