package org.hawthornglade.gateway.exchange;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.Decision;
import org.hawthornglade.core.dispatch.ModelDemand;
import org.hawthornglade.core.dispatch.ReplicaShortage;
import org.hawthornglade.core.fleet.PromptPart;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.PromptPartId;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.serving.CallKind;
import org.hawthornglade.core.serving.Route;
import org.hawthornglade.core.stream.EventDefect;
import org.hawthornglade.gateway.http.BodyFraming;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.metrics.GatewayMetrics;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The records of calls that waited for a load with an estimated end. */
class CallRecordTest {
    private static final long ARRIVED_AT_MS = 1_000;

    private final GatewayMetrics metrics = new GatewayMetrics();
    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
    private final EventLog log =
            new EventLog(() -> ARRIVED_AT_MS, new PrintStream(new LineSink(lines), true, StandardCharsets.UTF_8));

    /** A refusal because the expected load did not complete must be distinguishable from refusals for other reasons. */
    @ParameterizedTest
    @CsvSource({
        "true, DEADLINE_NOT_REACHABLE, true",
        "true, DEADLINE_PASSED_WAITING, true",
        "true, CANCELLED_BEFORE_START, false",
        "false, DEADLINE_PASSED_WAITING, false",
    })
    void callThatWaitedInVainForAnExpectedLoadCountsAsABrokenPromise(
            boolean estimated, ResultCode code, boolean broken) {
        metrics.start();
        CallRecord record = new CallRecord(RequestId.of("r-1"), call(), 1);
        OptionalLong expectedAtMs = estimated ? OptionalLong.of(ARRIVED_AT_MS + 800) : OptionalLong.empty();
        record.onWait(new Decision.Wait("replica-coming", expectedAtMs));
        record.write(log, metrics, code, 503, ARRIVED_AT_MS + 900);
        assertThat(metrics.text().contains("hawthornglade_promises_broken_total 1.0"))
                .isEqualTo(broken);
    }

    /** From the line of a refused call it must be visible whether its model or just its adapter was missing. */
    @ParameterizedTest
    @EnumSource(ReplicaShortage.class)
    void lineOfARefusedCallNamesWhatItLacked(ReplicaShortage shortage) throws InterruptedException {
        CallRecord record = new CallRecord(RequestId.of("r-1"), call(), 1);
        record.onShortage(shortage);
        record.write(log, metrics, ResultCode.DEADLINE_NOT_REACHABLE, 503, ARRIVED_AT_MS + 900);
        assertThat(lines.poll(5, TimeUnit.SECONDS)).endsWith(" lacked=" + shortage + "\n");
    }

    /** From the line of a call it must be visible how its stream was to end, and whether it ended inside an event. */
    @ParameterizedTest
    @CsvSource({
        "CONNECTION, 17, framing=CONNECTION partial_event_bytes=17",
        "CONNECTION, 0, framing=CONNECTION",
        "CHUNKED, 3, framing=CHUNKED partial_event_bytes=3",
    })
    void lineOfAStreamNamesItsFramingAndItsPartialEvent(BodyFraming framing, int partialEventBytes, String expected)
            throws InterruptedException {
        CallRecord record = new CallRecord(RequestId.of("r-1"), call(), 1);
        record.onStream(framing);
        record.onStreamEnd(partialEventBytes);
        record.write(log, metrics, ResultCode.OK, 200, ARRIVED_AT_MS + 900);
        assertThat(lines.poll(5, TimeUnit.SECONDS)).endsWith(expected + "\n");
    }

    /** From the line of a call and a counter it must be visible which id of its stream went back, and after which. */
    @Test
    void lineOfAStreamNamesTheFirstIdThatWentBack() throws InterruptedException {
        metrics.start();
        CallRecord record = new CallRecord(RequestId.of("r-1"), call(), 1);
        record.onStream(BodyFraming.CHUNKED);
        record.onDisorder(new EventDisorder(new EventId("7"), new EventId("1")));
        record.onDisorder(new EventDisorder(new EventId("9"), new EventId("9")));
        record.write(log, metrics, ResultCode.ANSWER_INCOMPLETE, 0, ARRIVED_AT_MS + 900);
        assertThat(lines.poll(5, TimeUnit.SECONDS)).endsWith("framing=CHUNKED out_of_order=1 after=7\n");
        assertThat(metrics.text()).contains("hawthornglade_streams_out_of_order_total 1.0");
    }

    /** From the line of a call and a counter it must be visible what was wrong with an event, and where it came. */
    @ParameterizedTest
    @CsvSource({
        "7, invalid_event=NO_ID last_event=7",
        ", invalid_event=NO_ID",
    })
    void lineOfAStreamNamesTheFirstInvalidEvent(String last, String expected) throws InterruptedException {
        metrics.start();
        CallRecord record = new CallRecord(RequestId.of("r-1"), call(), 1);
        record.onStream(BodyFraming.CHUNKED);
        Optional<EventId> lastId = Optional.ofNullable(last).map(EventId::new);
        record.onInvalidEvent(new InvalidEvent(EventDefect.NO_ID, lastId));
        record.onInvalidEvent(new InvalidEvent(EventDefect.STATUS_LINE, lastId));
        record.write(log, metrics, ResultCode.ANSWER_INCOMPLETE, 0, ARRIVED_AT_MS + 900);
        assertThat(lines.poll(5, TimeUnit.SECONDS)).endsWith("framing=CHUNKED " + expected + "\n");
        assertThat(metrics.text()).contains("hawthornglade_streams_with_invalid_events_total 1.0");
    }

    /** What the calls that a crash cut off had in common must be visible from their lines. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void lineOfACutOffCallNamesItsSharedParts(boolean lost) throws InterruptedException {
        CallRecord record = new CallRecord(RequestId.of("r-1"), generation(), 1);
        if (lost) {
            record.onResponseLost();
        }
        record.write(log, metrics, ResultCode.ANSWER_INCOMPLETE, 0, ARRIVED_AT_MS + 900);
        assertThat(lines.poll(5, TimeUnit.SECONDS).contains("shared_parts=a1,b2\n"))
                .isEqualTo(lost);
    }

    private static CallView generation() {
        List<PromptPart> prefix = List.of(
                new PromptPart(PromptPartId.of("a1"), 100),
                new PromptPart(PromptPartId.of("b2"), 100),
                new PromptPart(PromptPartId.of("own"), 100));
        ModelDemand demand = new ModelDemand(ModelName.of("m"), Optional.empty(), 300, 10, prefix);
        CallView call = call();
        return new CallView(call.service(), call.route(), Optional.of(demand), call.arrivedAtMs(), call.deadlineAtMs());
    }

    private static CallView call() {
        Route route =
                new Route("r", "h.example", "/r/", CallKind.STREAM, 15_000, 800, 500, 4_000, 1, 0, true, List.of());
        return new CallView(ServiceName.of("drafts"), route, Optional.empty(), ARRIVED_AT_MS, ARRIVED_AT_MS + 5_000);
    }

    /** Passes on what is written, a piece for each write. */
    private static final class LineSink extends OutputStream {
        private final BlockingQueue<String> lines;

        LineSink(BlockingQueue<String> lines) {
            this.lines = lines;
        }

        @Override
        public void write(int value) {
            write(new byte[] {(byte) value}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) {
            lines.add(new String(bytes, offset, length, StandardCharsets.UTF_8));
        }
    }
}
