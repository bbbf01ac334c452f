package org.hawthornglade.gateway.exchange;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.fleet.InstanceVersion;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.id.SoftwareVersion;
import org.hawthornglade.core.lease.FencingToken;
import org.hawthornglade.core.replica.EngineReport;
import org.hawthornglade.core.replica.OrderOutcome;
import org.hawthornglade.core.replica.ReplicaOrder;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.gateway.exchange.StartCheck.Result;
import org.hawthornglade.gateway.port.EngineControl;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Engines are asked for their start before a stream goes on at them. */
class EngineStartCheckTest {
    private static final long BORN_MS = 7_000;
    private static final ServiceName DRAFTS = ServiceName.of("drafts");
    private static final ServiceName ORDERS = ServiceName.of("orders");

    /** An engine that answers each request for its report in the same way. */
    private record FixedControl(Either<Failure, EngineReport> report) implements EngineControl {
        @Override
        public void order(
                InstanceRecord target,
                ReplicaOrder order,
                String holder,
                FencingToken token,
                Consumer<OrderOutcome> done) {
            throw new AssertionError("an order: " + order);
        }

        @Override
        public void report(InstanceRecord target, Consumer<Either<Failure, EngineReport>> done) {
            done.accept(report);
        }
    }

    private static Either<Failure, EngineReport> bornAt(long bornMs) {
        return Either.right(new EngineReport(new InstanceVersion(bornMs, 0), false, Map.of(), Set.of(), Set.of()));
    }

    static Stream<Arguments> answers() {
        Either<Failure, EngineReport> failure = Either.left(Failure.of(ResultCode.ENGINE_REFUSED, "no report"));
        return Stream.of(
                Arguments.of("same start", DRAFTS, bornAt(BORN_MS), Result.SAME),
                Arguments.of("later start", DRAFTS, bornAt(BORN_MS + 1), Result.OTHER),
                Arguments.of("earlier start", DRAFTS, bornAt(BORN_MS - 1), Result.OTHER),
                Arguments.of("no start stated", DRAFTS, bornAt(0), Result.UNKNOWN),
                Arguments.of("no report", DRAFTS, failure, Result.UNKNOWN),
                Arguments.of("service without models", ORDERS, failure, Result.SAME));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("answers")
    void onlyAReportOfTheSameStartConfirmsIt(
            String name, ServiceName service, Either<Failure, EngineReport> report, Result expected) {
        List<Result> results = new ArrayList<>();
        new EngineStartCheck(new FixedControl(report), DRAFTS::equals).check(record(service), results::add);
        assertThat(results).containsExactly(expected);
    }

    private static InstanceRecord record(ServiceName service) {
        return new InstanceRecord(
                InstanceId.of("i-1"),
                service,
                SoftwareVersion.of("v1"),
                new InstanceAddress("127.0.0.1", 1),
                FailureDomain.of("zone-a"),
                8,
                false,
                OptionalLong.empty(),
                BORN_MS,
                1,
                Map.of(),
                Set.of(),
                Set.of());
    }
}
