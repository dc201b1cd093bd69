package org.berylpoint.model

import kotlinx.serialization.Serializable

/** One version of the service for a request class, with its owner, limits and backend servers. */
@Serializable
public data class CatalogueEntry(
    val name: EntryName,
    /** The workspace that is responsible for this entry. */
    val owner: Workspace,
    val requestClass: RequestClass,
    val kind: ServiceKind,
    val version: VersionName,
    val limits: ClassLimits,
    /** Statically configured backend servers; the platform's instance list adds those labelled with [name]. */
    val servers: List<BackendServer> = emptyList(),
    /**
     * Whether a stream that migrates to another server may export and import its KV cache; the entries of both servers
     * must allow it.
     */
    val kvTransfer: Boolean = false,
)
