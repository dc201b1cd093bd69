package org.berylpoint.entry.gateway.flow

import org.berylpoint.entry.gateway.caller.CallerRequest
import org.berylpoint.platform.wire.RequestHeaders

/** One part of a prompt, which other requests may share, with its length in tokens. */
internal data class PromptPart(val id: String, val tokens: Long) {
    companion object {
        /** The parts of the prompt of [request] in order, without the last one, which is specific to the request. */
        fun sharedIn(request: CallerRequest): List<PromptPart> {
            val parts = request.header(RequestHeaders.PROMPT_PARTS).orEmpty().split(',').map { it.trim() }
            return parts.dropLast(1).filter { ':' in it }.take(MAX_PARTS).map(::parse)
        }

        private fun parse(text: String) = PromptPart(
            text.substringBeforeLast(':'),
            text.substringAfterLast(':').toLongOrNull()?.coerceAtLeast(0) ?: 0,
        )

        /** A prompt with more parts is treated as if it ended there. */
        private const val MAX_PARTS = 64
    }
}
