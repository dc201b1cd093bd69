package org.berylpoint.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.Json
import org.berylpoint.entry.catalogue.CatalogueRows
import org.berylpoint.entry.catalogue.StoredChange
import org.berylpoint.entry.gateway.duty.LeaseRow
import org.berylpoint.entry.gateway.peers.PeerRow
import org.berylpoint.entry.http.OperatorApi
import org.berylpoint.entry.lease.TableLease
import org.berylpoint.entry.member.DomainRow
import org.berylpoint.entry.once.OnceRecord
import org.berylpoint.model.AcceptedVersion
import org.berylpoint.model.Catalogue
import org.berylpoint.model.CatalogueFault
import org.berylpoint.model.CatalogueUpdate
import org.berylpoint.model.Instance
import org.berylpoint.model.MoveReport
import org.berylpoint.model.StatusReport
import org.berylpoint.platform.Row
import org.berylpoint.platform.RowKey

private val samples =
    checkNotNull(StoredFormatTest::class.java.getResource("/formats/entry.txt")).readText().trim().lines()
        .associate { it.substringBefore(' ') to it.substringAfter(' ') }

private fun <T> format(json: Json, type: KSerializer<T>): (String) -> String =
    { json.encodeToString(type, json.decodeFromString(type, it)) }

private fun row(value: String) = Row(RowKey("", ""), 1, value)

/**
 * Guards against a changed serialized name, after which a new process can't read what an old one has stored, and
 * operators' tools can't read the answers of an instance.
 *
 * A line of the samples is a kind of row or answer, with the state of a record after a colon, and what was written with
 * no property at its default. What stands there stays; new types and properties are added.
 */
class StoredFormatTest :
    FunSpec({
        val formats = mapOf<String, (String) -> String>(
            "once" to { OnceRecord.decode(row(it)).encode() },
            "once-index" to { OnceRecord.encodeIndex(OnceRecord.decodeIndex(row(it))) },
            "holder" to format(Json, Instance.serializer()),
            "domain" to { DomainRow.decode(it).encode() },
            "catalogue-change" to format(CatalogueRows.json, StoredChange.serializer()),
            "catalogue-snapshot" to format(CatalogueRows.json, Catalogue.serializer()),
            "lease" to format(Json, TableLease.LeaseRecord.serializer()),
            "duty-lease" to format(Json, LeaseRow.serializer()),
            "report-address" to format(Json, PeerRow.serializer()),
            "operator-catalogue" to format(OperatorApi.json, Catalogue.serializer()),
            "operator-update" to format(OperatorApi.json, CatalogueUpdate.serializer()),
            "operator-accepted" to format(OperatorApi.json, AcceptedVersion.serializer()),
            "operator-status" to format(OperatorApi.json, StatusReport.serializer()),
            "operator-moves" to format(OperatorApi.json, ListSerializer(MoveReport.serializer())),
            "operator-faults" to format(OperatorApi.json, ListSerializer(CatalogueFault.serializer())),
        )

        samples.forEach { (key, text) ->
            test("$key is read and written as before") {
                formats.getValue(key.substringBefore(':'))(text) shouldBe text
            }
        }

        @OptIn(ExperimentalSerializationApi::class)
        test("every kind, and every state of a record, has a sample") {
            val states = OnceRecord.State.serializer().descriptor.getElementDescriptor(1).elementNames
            samples.keys shouldBe formats.keys - "once" + states.map { "once:$it" }
        }
    })
