package org.berylpoint.entry.gateway.caller

import java.nio.channels.ServerSocketChannel

/** The bound channels of [GatewayHttpServer], one for each of its addresses. */
public class ListeningChannels(
    public val callers: ServerSocketChannel,
    public val readiness: ServerSocketChannel,
    public val metrics: ServerSocketChannel,
) {
    internal val all: List<ServerSocketChannel> get() = listOf(callers, readiness, metrics)

    public companion object {
        /** Backlog of connections that are not accepted yet. */
        public const val ACCEPT_QUEUE: Int = 512
    }
}
