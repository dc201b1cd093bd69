package org.berylpoint.entry.log

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.slf4j.Logger

class LogConfiguratorTest :
    FunSpec({
        // Guards against tests that write every decision: logback runs this configurator before it looks for files.
        test("a test file on the class path goes first") {
            val context = LoggerContext()
            LogConfigurator().configure(context) shouldBe ExecutionStatus.INVOKE_NEXT_IF_ANY
            context.getLogger(Logger.ROOT_LOGGER_NAME).iteratorForAppenders().hasNext() shouldBe false
        }
    })
