package org.hawthornglade.entry.attempt;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicBoolean;
import org.hawthornglade.core.entry.AttemptOutcome;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.time.ManualClock;
import org.hawthornglade.protocol.frame.FrameReader;
import org.hawthornglade.standin.table.InMemoryTableService;
import org.hawthornglade.standin.table.TableSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class CompleteResponseTest {
    private final ManualClock clock = new ManualClock(1_000);
    private final FakeAgent agent = new FakeAgent();
    private final EntryHarness entry =
            new EntryHarness(clock, new InMemoryTableService(TableSettings.of("table"), clock), agent);

    /** An idempotent call whose response has not been forwarded yet is retried at another agent after any fault. */
    @ParameterizedTest
    @CsvSource({
        "NOT_SENT",
        "DRAINING",
        "LOST",
        "LATE",
        "LATE_AND_CANCEL_LOST",
        "RUN_AND_BROKEN",
        "RUN_AND_CANCEL_LOST",
        "RUN_AND_CUT",
        "RUN_AND_CROSSED"
    })
    void retriesAnIdempotentCallAndReturnsOneCompleteResponse(FakeAgent.Fault fault) throws InterruptedException {
        agent.queueFaults(fault);
        Either<Failure, CompleteResponse> response = entry.lookUp("r1", "r1");
        assertThat(new String(response.get().body(), UTF_8)).isEqualTo("ran r1 r1");
    }

    @Test
    void neverReturnsPartOfAnOversizedResponse() throws InterruptedException {
        Either<Failure, CompleteResponse> response = entry.lookUp("r1", "x".repeat(2_000));
        assertThat(response.getLeft().code()).isEqualTo(ResultCode.ENDPOINT_FAILED);
    }

    @Test
    void neverReturnsPartOfAResponseTruncatedOnEachAttempt() throws InterruptedException {
        agent.setFaults(() -> FakeAgent.Fault.RUN_AND_CUT);
        assertThat(entry.lookUp("r1", "r1").getLeft().code()).isEqualTo(ResultCode.ENDPOINT_FAILED);
    }

    @Test
    void aStreamThatFailsAfterItsFirstBytesIsNotRetried() throws Exception {
        agent.queueFaults(FakeAgent.Fault.RUN_AND_CUT);
        StreamingResponse streaming = entry.stream("r1").get();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        AttemptOutcome outcome = entry.runner().stream(streaming, out);
        assertThat(outcome.isComplete()).isFalse();
        assertThat(outcome.failure().code()).isEqualTo(ResultCode.ANSWER_INCOMPLETE);
        assertThat(out.toString(UTF_8)).isEqualTo("ran");
        assertThat(agent.runs()).hasSize(1);
    }

    @Test
    void aFailureToCloseAnAbortedConnectionIsIgnored() throws IOException {
        FrameReader empty = new FrameReader(AttemptId.of("r1.1"), InputStream.nullInputStream());
        AtomicBoolean aborted = new AtomicBoolean();
        AttemptResponse response = new AttemptResponse(empty, () -> aborted.set(true), () -> {
            throw new IOException("Socket closed");
        });
        response.close();
        assertThat(aborted.get()).isTrue();
    }

    @Test
    void aStreamWhoseFirstBytesBelongToAnotherAttemptIsRetried() throws Exception {
        agent.queueFaults(FakeAgent.Fault.RUN_AND_CROSSED);
        StreamingResponse streaming = entry.stream("r1").get();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        assertThat(entry.runner().stream(streaming, out).isComplete()).isTrue();
        assertThat(out.toString(UTF_8)).isEqualTo("ran r1 r1");
    }

    @Test
    void aResponseIsAbandonedWhenTheCallerDisconnects() throws Exception {
        StreamingResponse streaming = entry.stream("r1").get();
        OutputStream disconnected = new OutputStream() {
            @Override
            public void write(int value) throws IOException {
                throw new IOException("broken pipe");
            }
        };
        assertThrows(IOException.class, () -> entry.runner().stream(streaming, disconnected));
        assertThat(agent.runs()).hasSize(1);
    }
}
