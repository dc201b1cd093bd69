package org.berylpoint.entry.catalogue

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.berylpoint.model.CatalogueUpdate
import org.berylpoint.platform.RowKey

/**
 * Keys and JSON format of the catalogue's rows in the table service and of its snapshots in the object store.
 *
 * The head row is written exactly once per catalogue version, so its row version equals the catalogue version. A change
 * row is written only if it is absent, and is never modified.
 */
internal object CatalogueRows {
    /** Partition of the change rows. */
    const val CHANGE_PARTITION = "catalogue/change"

    /** Number of versions between two snapshots. */
    const val SNAPSHOT_INTERVAL_VERSIONS = 100L

    /** The table protocol limits a row to 400 KB; the rest is reserved for the key and the token. */
    const val MAX_CHANGE_BYTES = 350_000

    val headKey = RowKey("catalogue", "head")

    private const val VERSION_DIGITS = 19

    val json = Json { ignoreUnknownKeys = true }

    /** Sort key of [version]; padded with zeros because the table compares sort keys as text. */
    fun sortKey(version: Long): String = version.toString().padStart(VERSION_DIGITS, '0')

    fun changeKey(version: Long): RowKey = RowKey(CHANGE_PARTITION, sortKey(version))

    fun snapshotKey(version: Long): String = "catalogue/snapshot/${sortKey(version)}"
}

/** Content of a change row; [token] identifies the commit that wrote it. */
@Serializable
internal data class StoredChange(val token: String, val update: CatalogueUpdate)
