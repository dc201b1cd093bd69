package org.berylpoint.model

import kotlinx.serialization.Serializable

/** The name of an entry instance, unique over restarts: a new process takes a new one. */
@Serializable
@JvmInline
public value class InstanceId(public val value: String) {
    override fun toString(): String = value
}

/** The name of a backend server, as the catalogue or the platform's instance list gives it. */
@Serializable
@JvmInline
public value class BackendServerId(public val value: String) {
    override fun toString(): String = value
}

/** A customer or team on whose behalf requests run. */
@Serializable
@JvmInline
public value class Workspace(public val name: String) {
    override fun toString(): String = name
}

/** A kind of request with limits and a worth of its own; callers name it as `model` or in the path. */
@Serializable
@JvmInline
public value class RequestClass(public val name: String) {
    override fun toString(): String = name
}

/** A version of the software or model that backend servers of one request class run. */
@Serializable
@JvmInline
public value class VersionName(public val value: String) {
    override fun toString(): String = value
}

/** The name of a catalogue entry. */
@Serializable
@JvmInline
public value class EntryName(public val value: String) {
    override fun toString(): String = value
}

/** The identity of one request at the entry instance that accepted it; never reused over restarts. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** The caller's `Idempotency-Key`, unique within a [Workspace]. */
@Serializable
@JvmInline
public value class IdempotencyKey(public val value: String) {
    override fun toString(): String = value
}

/** SHA-256, in hexadecimal, over the workspace, the request class and the body of a request. */
@Serializable
@JvmInline
public value class Fingerprint(public val value: String) {
    override fun toString(): String = value
}
