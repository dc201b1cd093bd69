package org.berylpoint.entry.catalogue

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.berylpoint.model.CatalogueUpdate
import org.berylpoint.platform.RowKey

/**
 * Names and formats of the catalogue's rows and objects.
 *
 * The head row is put once for each version, so its row version is the catalogue version. A change row is put if
 * absent and never changed.
 */
internal object CatalogueRows {
    const val CHANGE_PARTITION = "catalogue/change"

    /** Versions from one snapshot to the next. */
    const val SNAPSHOT_INTERVAL_VERSIONS = 100L

    /** A row holds at most 400 KB in the published protocol; the rest is room for key and token. */
    const val MAX_CHANGE_BYTES = 350_000

    val headKey = RowKey("catalogue", "head")

    private const val VERSION_DIGITS = 19

    val json = Json { ignoreUnknownKeys = true }

    /** Sort keys are compared as text, so versions have leading zeros. */
    fun sortKey(version: Long): String = version.toString().padStart(VERSION_DIGITS, '0')

    fun changeKey(version: Long): RowKey = RowKey(CHANGE_PARTITION, sortKey(version))

    fun snapshotKey(version: Long): String = "catalogue/snapshot/${sortKey(version)}"
}

/** Content of a change row; [token] tells whose commit it was. */
@Serializable
internal data class StoredChange(val token: String, val update: CatalogueUpdate)
