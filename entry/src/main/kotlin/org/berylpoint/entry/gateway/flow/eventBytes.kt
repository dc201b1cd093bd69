package org.berylpoint.entry.gateway.flow

/** Whether the bytes end with an empty line. */
internal fun ByteArray.isCompleteEvent(): Boolean = size >= 2 &&
    this[size - 1] == LINE_FEED &&
    (this[size - 2] == LINE_FEED || (size >= 3 && this[size - 2] == CARRIAGE_RETURN && this[size - 3] == LINE_FEED))

/** Whether there are only ends of lines, of which a server may send more than the one that ends an event. */
internal fun ByteArray.isBlank(): Boolean = all { it == LINE_FEED || it == CARRIAGE_RETURN }

/** Whether all lines are comments, which some servers send to keep a connection alive. */
internal fun ByteArray.isComment(): Boolean = isNotEmpty() &&
    this[0] == COLON &&
    decodeToString().lines().all { it.isEmpty() || it.startsWith(':') }

private const val COLON = ':'.code.toByte()
private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
