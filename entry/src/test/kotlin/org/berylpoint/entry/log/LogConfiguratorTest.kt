package org.berylpoint.entry.log

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.slf4j.Logger

class LogConfiguratorTest :
    FunSpec({
        // Guards against tests that log every decision: logback runs this configurator before it looks for files.
        test("logback-test.xml on the class path takes precedence") {
            val context = LoggerContext()
            LogConfigurator().configure(context) shouldBe ExecutionStatus.INVOKE_NEXT_IF_ANY
            context.getLogger(Logger.ROOT_LOGGER_NAME).iteratorForAppenders().hasNext() shouldBe false
        }
    })
