package org.berylpoint.model

import kotlinx.serialization.Serializable

/** One version of a service with its owner, request class, limits and backend servers. */
@Serializable
public data class CatalogueEntry(
    val name: EntryName,
    /** The workspace that answers for this entry. */
    val owner: Workspace,
    val requestClass: RequestClass,
    val kind: ServiceKind,
    val version: VersionName,
    val limits: ClassLimits,
    /** Backend servers known beforehand; the platform's instance list adds those labelled with [name]. */
    val servers: List<BackendServer> = emptyList(),
    /** Whether both ends of a move may use KV cache export and import. */
    val kvTransfer: Boolean = false,
)
