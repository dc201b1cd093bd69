package org.berylpoint.ctl

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.berylpoint.model.Catalogue
import org.berylpoint.model.CatalogueChange
import org.berylpoint.model.CatalogueEntry
import org.berylpoint.model.CatalogueUpdate
import java.io.File
import java.io.IOException

/** A catalogue file: the entries that are to be in the catalogue. */
@Serializable
internal data class CatalogueFile(
    val entries: List<CatalogueEntry>,
    /** Version that the file was read at; an update made from the file expects it. */
    val version: Long? = null,
) {
    /** The faults of the entries by themselves, without regard to a catalogue in force. */
    fun check(): CallFailure? {
        val empty = Catalogue()
        if (entries.isEmpty()) return null
        return empty.apply(CatalogueUpdate(empty.version, entries.map { CatalogueChange.PutEntry(it) }))
            .fold({ CallFailure(ExitCode.INVALID, "the catalogue file is not valid", it) }, { null })
    }

    /** The changes that make [catalogue] hold these entries, and with [prune] no others. */
    fun changesTo(catalogue: Catalogue, prune: Boolean): List<CatalogueChange> {
        val puts = entries.filter { catalogue.entries[it.name] != it }.map { CatalogueChange.PutEntry(it) }
        val names = entries.map { it.name }.toSet()
        val retired = catalogue.entries.keys.filter { prune && it !in names }.map { CatalogueChange.RetireEntry(it) }
        return puts + retired
    }

    companion object {
        val json = Json {
            prettyPrint = true
            encodeDefaults = true
        }

        /** Reads [file]; unknown members are refused, because they are misspelt limits more often than not. */
        fun read(file: File): Either<CallFailure, CatalogueFile> = try {
            json.decodeFromString<CatalogueFile>(file.readText()).right()
        } catch (e: SerializationException) {
            CallFailure(ExitCode.INVALID, "${file.path} is no catalogue file: ${e.message}").left()
        } catch (e: IOException) {
            CallFailure(ExitCode.INVALID, "${file.path} can't be read: ${e.message}").left()
        }
    }
}
