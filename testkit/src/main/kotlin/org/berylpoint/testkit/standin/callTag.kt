package org.berylpoint.testkit.standin

private val CALL_TAG = Regex("call:([A-Za-z0-9_.-]+)")

/**
 * The tag `call:<name>` that a caller puts into the body of a request, or an empty string.
 *
 * It ties the callers' journal to the servers' without any id that the product gives out, and survives a resume,
 * which repeats the prompt.
 */
public fun callTag(body: String): String = CALL_TAG.find(body)?.groupValues?.get(1).orEmpty()
