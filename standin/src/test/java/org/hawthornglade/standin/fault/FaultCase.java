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
 * A fault and the result that every platform client must report for it.
 *
 * @param name a description of the fault
 * @param script the script that makes the stand-in inject it
 * @param timeoutMs the time-out of the client, in milliseconds
 * @param read the result of a reading call
 * @param change the result of a changing call
 * @param takesEffect whether the change takes effect, possibly after the time-out
 * @param retryAfterMs the retry-after time that the client reports, in milliseconds; 0 if it is not checked
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

    /** Returns all cases. */
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

    /** Returns the cases without delays in the stand-in, for tests with manual timers. */
    public static Stream<FaultCase> withoutDelay() {
        return all().filter(fault -> fault.script().slowMs() == 0);
    }

    /** Returns the result code of a failure; OK for a value. */
    public static ResultCode codeOf(Either<Failure, ?> result) {
        return result.fold(Failure::code, value -> OK);
    }

    @Override
    public String toString() {
        return name;
    }
}
