package org.hawthornglade.standin.fault;

import static org.hawthornglade.core.result.ResultCode.OK;
import static org.hawthornglade.core.result.ResultCode.PLATFORM_OUTCOME_UNKNOWN;
import static org.hawthornglade.core.result.ResultCode.PLATFORM_RATE_LIMITED;
import static org.hawthornglade.core.result.ResultCode.PLATFORM_UNAVAILABLE;

import io.vavr.control.Either;
import java.util.stream.Stream;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/**
 * One row of the table of faults that every platform client must tell truly.
 *
 * @param name what happens
 * @param script how the stand-in brings it about
 * @param timeoutMs how long the client waits for an answer, in milliseconds
 * @param read how a call that reads ends
 * @param change how a call that changes something ends
 * @param takesEffect whether the change takes effect, be it late
 * @param retryAfterMs when the client is told to come back, in milliseconds; 0 if it does not matter
 */
public record FaultCase(
        String name,
        FaultScript script,
        int timeoutMs,
        ResultCode read,
        ResultCode change,
        boolean takesEffect,
        long retryAfterMs) {
    private static final int LONG_TIMEOUT_MS = 20_000;
    private static final int SHORT_TIMEOUT_MS = 300;

    /** Returns all rows. */
    public static Stream<FaultCase> all() {
        return Stream.of(
                new FaultCase("no fault", FaultScript.NONE, LONG_TIMEOUT_MS, OK, OK, true, 0),
                new FaultCase(
                        "slow within the time-out",
                        new FaultScriptBuilder().slowMs(20).build(),
                        LONG_TIMEOUT_MS,
                        OK,
                        OK,
                        true,
                        0),
                new FaultCase(
                        "slow beyond the time-out",
                        new FaultScriptBuilder().slowMs(2 * SHORT_TIMEOUT_MS).build(),
                        SHORT_TIMEOUT_MS,
                        PLATFORM_UNAVAILABLE,
                        PLATFORM_OUTCOME_UNKNOWN,
                        true,
                        0),
                new FaultCase(
                        "down",
                        new FaultScriptBuilder().down().build(),
                        LONG_TIMEOUT_MS,
                        PLATFORM_UNAVAILABLE,
                        PLATFORM_UNAVAILABLE,
                        false,
                        0),
                new FaultCase(
                        "every call fails with 503",
                        new FaultScriptBuilder().failEvery(1, 503).build(),
                        LONG_TIMEOUT_MS,
                        PLATFORM_UNAVAILABLE,
                        PLATFORM_UNAVAILABLE,
                        false,
                        0),
                new FaultCase(
                        "every call fails with 500",
                        new FaultScriptBuilder().failEvery(1, 500).build(),
                        LONG_TIMEOUT_MS,
                        PLATFORM_UNAVAILABLE,
                        PLATFORM_OUTCOME_UNKNOWN,
                        false,
                        0),
                new FaultCase(
                        "reply lost after the change",
                        new FaultScriptBuilder().loseReplyEvery(1).build(),
                        LONG_TIMEOUT_MS,
                        OK,
                        PLATFORM_OUTCOME_UNKNOWN,
                        true,
                        0),
                new FaultCase(
                        "rate limited",
                        new FaultScriptBuilder().rateLimitMs(1_234).build(),
                        LONG_TIMEOUT_MS,
                        PLATFORM_RATE_LIMITED,
                        PLATFORM_RATE_LIMITED,
                        false,
                        1_234),
                new FaultCase(
                        "frozen",
                        new FaultScriptBuilder().freeze().build(),
                        SHORT_TIMEOUT_MS,
                        PLATFORM_UNAVAILABLE,
                        PLATFORM_OUTCOME_UNKNOWN,
                        false,
                        0));
    }

    /** Returns the rows that take no time of the stand-in, for suites whose time is moved by hand. */
    public static Stream<FaultCase> withoutDelay() {
        return all().filter(row -> row.script().slowMs() == 0);
    }

    /** Returns the code that a result stands for. */
    public static ResultCode codeOf(Either<Failure, ?> result) {
        return result.fold(Failure::code, value -> OK);
    }

    @Override
    public String toString() {
        return name;
    }
}
