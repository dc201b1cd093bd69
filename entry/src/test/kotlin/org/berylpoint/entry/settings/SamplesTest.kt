package org.berylpoint.entry.settings

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.shouldBe
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.berylpoint.model.Catalogue
import org.berylpoint.model.CatalogueChange
import org.berylpoint.model.CatalogueEntry
import org.berylpoint.model.CatalogueUpdate
import org.berylpoint.model.ServiceKind
import java.io.File

@Serializable
private class SampleCatalogue(val entries: List<CatalogueEntry>)

private class SampleSite(name: String) {
    private val directory = File("../samples/$name")
    val settings = directory.listFiles { file -> file.extension == "ini" }.orEmpty().sorted().map { file ->
        NodeSettings.read(file).fold({ error(it.joinToString("\n")) }, { it })
    }
    val entries = Json.decodeFromString<SampleCatalogue>(File(directory, "catalogue.json").readText()).entries
}

/** Guards against sample files that a process would refuse or that contradict each other or the design page. */
class SamplesTest :
    FunSpec({
        listOf("elimu" to 9, "lechfeld" to 8).forEach { (name, instances) ->
            val site = SampleSite(name)

            test("the settings of $name are valid and their seeds are peer addresses of $name") {
                site.settings.size shouldBe instances
                site.settings.map { it.instance.id }.distinct().size shouldBe instances
                val addresses = site.settings.map { it.instance.peerAddress }
                addresses.distinct().size shouldBe instances
                site.settings.forEach {
                    withClue(it.instance.id) {
                        addresses shouldContainAll it.peers.seeds
                        // One seed per other domain, so that an instance finds a peer while a domain is unreachable.
                        (it.peers.seeds.size >= 3) shouldBe true
                    }
                }
            }

            test("the catalogue of $name is valid and has the size that the design page states") {
                val update = CatalogueUpdate(0, site.entries.map { CatalogueChange.PutEntry(it) })
                Catalogue().apply(update).fold({ it.joinToString("\n") }, { "" }) shouldBe ""
                val (model, plain) = site.entries.partition { it.kind == ServiceKind.MODEL }
                model.sumOf { it.servers.size } shouldBe 13
                plain.sumOf { it.servers.size } shouldBe 4
                site.entries.map { it.owner }.distinct().size shouldBe 5
                site.entries.count { !it.limits.idempotent } shouldBe 1
            }

            test("servers and instances of $name are in the same four failure domains") {
                val domains = site.settings.map { it.instance.failureDomain }.toSet()
                domains.size shouldBe 4
                site.entries.flatMap { it.servers }.map { it.failureDomain }.toSet() shouldBe domains
            }
        }
    })
