package org.berylpoint.model

import kotlinx.serialization.Serializable

/** The name of an entry instance, unique across restarts: every process has its own. */
@Serializable
@JvmInline
public value class InstanceId(public val value: String) {
    override fun toString(): String = value
}

/** The name of a backend server, as listed in the catalogue or in the platform's instance list. */
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

/** A class of requests that share limits and a weight; callers name it in the `model` field or in the path. */
@Serializable
@JvmInline
public value class RequestClass(public val name: String) {
    override fun toString(): String = name
}

/** The version of the software or model that backend servers of a request class run. */
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

/** The identifier that an entry instance gives to a request it accepts; never reused, not even after a restart. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** The value of a caller's `Idempotency-Key` header, unique within a [Workspace]. */
@Serializable
@JvmInline
public value class IdempotencyKey(public val value: String) {
    override fun toString(): String = value
}

/** The SHA-256 digest, in hexadecimal, of the workspace, the request class and the body of a request. */
@Serializable
@JvmInline
public value class Fingerprint(public val value: String) {
    override fun toString(): String = value
}
