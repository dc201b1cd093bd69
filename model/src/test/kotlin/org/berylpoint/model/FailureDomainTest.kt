package org.berylpoint.model

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class FailureDomainTest :
    FunSpec({
        test("`toString` gives the bare name") {
            FailureDomain("muc-a").toString() shouldBe "muc-a"
        }
    })
