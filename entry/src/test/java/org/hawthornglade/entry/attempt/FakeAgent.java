package org.hawthornglade.entry.attempt;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.protocol.frame.FrameReader;
import org.hawthornglade.protocol.frame.FrameWriter;
import org.hawthornglade.protocol.gen.CancelOutcome;
import org.hawthornglade.protocol.gen.Header;

/** A simulated agent with a plain service, which records the calls that actually run. */
final class FakeAgent implements AttemptTransport {
    /** The fault of one attempt. */
    enum Fault {
        NONE,
        NOT_SENT,
        DRAINING,
        /** The attempt is lost in transit; a cancel reaches the agent. */
        LOST,
        /** The attempt arrives only when {@link #deliverDelayed} is called; a cancel reaches the agent. */
        LATE,
        /** The attempt arrives only when {@link #deliverDelayed} is called; a cancel is lost. */
        LATE_AND_CANCEL_LOST,
        /** The call runs, and the connection fails before the head of the response. */
        RUN_AND_BROKEN,
        /** The call runs, and both the response and a cancel are lost. */
        RUN_AND_CANCEL_LOST,
        /** The call runs, and the response is truncated. */
        RUN_AND_CUT,
        /** The call runs, and the response is that of another attempt. */
        RUN_AND_CROSSED
    }

    /** One run of a call by the service. */
    record Run(String request, String key) {}

    private record DelayedAttempt(AttemptId attempt, Run run) {}

    private final List<Run> runs = new ArrayList<>();
    private final Set<AttemptId> started = new HashSet<>();
    private final Set<AttemptId> tombstones = new HashSet<>();
    private final Set<AttemptId> cancelLost = new HashSet<>();
    private final ArrayDeque<DelayedAttempt> delayed = new ArrayDeque<>();
    private Supplier<Fault> faults = () -> Fault.NONE;
    private Runnable beforeSend = () -> {};
    private Runnable afterRun = () -> {};

    void setFaults(Supplier<Fault> source) {
        faults = source;
    }

    void queueFaults(Fault... next) {
        ArrayDeque<Fault> queue = new ArrayDeque<>(List.of(next));
        faults = () -> queue.isEmpty() ? Fault.NONE : queue.poll();
    }

    void beforeSend(Runnable action) {
        beforeSend = action;
    }

    void afterRun(Runnable action) {
        afterRun = action;
    }

    List<Run> runs() {
        return runs;
    }

    void deliverDelayed() {
        while (!delayed.isEmpty()) {
            DelayedAttempt next = delayed.poll();
            if (!tombstones.contains(next.attempt)) {
                run(next.attempt, next.run);
            }
        }
    }

    @Override
    public AttemptResponse send(InstanceId instance, AttemptId attempt, CallerRequest request, long remainingMs)
            throws IOException {
        beforeSend.run();
        Run run = new Run(
                request.request().id().value(), new String(request.call().body(), UTF_8));
        Fault fault = faults.get();
        switch (fault) {
            case NOT_SENT -> throw new AttemptNotSentException("connection refused");
            case LOST -> throw new IOException("silent");
            case LATE, LATE_AND_CANCEL_LOST -> {
                delayed.add(new DelayedAttempt(attempt, run));
                if (fault == Fault.LATE_AND_CANCEL_LOST) {
                    cancelLost.add(attempt);
                }
                throw new IOException("silent");
            }
            case RUN_AND_CANCEL_LOST -> cancelLost.add(attempt);
            default -> {}
        }
        if (fault == Fault.DRAINING) {
            return respond(
                    attempt, writer -> writer.refused(Failure.retryAfter(ResultCode.AGENT_DRAINING, "leaving", 100)));
        }
        run(attempt, run);
        return responseFor(fault, attempt, run);
    }

    @Override
    public Optional<CancelOutcome> cancel(InstanceId instance, AttemptId attempt) {
        if (cancelLost.contains(attempt)) {
            return Optional.empty();
        }
        if (started.contains(attempt)) {
            return Optional.of(CancelOutcome.ENDED);
        }
        tombstones.add(attempt);
        return Optional.of(CancelOutcome.NEVER_STARTED);
    }

    private void run(AttemptId attempt, Run run) {
        started.add(attempt);
        runs.add(run);
        afterRun.run();
    }

    private static AttemptResponse responseFor(Fault fault, AttemptId attempt, Run run) throws IOException {
        byte[] body = ("ran " + run.request() + " " + run.key()).getBytes(UTF_8);
        return switch (fault) {
            case RUN_AND_BROKEN, RUN_AND_CANCEL_LOST -> throw new IOException("broken");
            case RUN_AND_CUT ->
                respond(attempt, writer -> {
                    writer.head(200, List.of());
                    writer.data(body, 0, 3);
                });
            case RUN_AND_CROSSED -> responseFrom(AttemptId.of("other.1"), attempt, body);
            default -> responseFrom(attempt, attempt, body);
        };
    }

    private static AttemptResponse responseFrom(AttemptId writer, AttemptId reader, byte[] body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        FrameWriter frames = new FrameWriter(writer, bytes);
        frames.head(200, List.of(new Header("Content-Type", "text/plain")));
        frames.keepAlive();
        frames.data(body, 0, body.length);
        frames.end();
        return read(reader, bytes);
    }

    private static AttemptResponse respond(AttemptId attempt, Frames frames) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        frames.write(new FrameWriter(attempt, bytes));
        return read(attempt, bytes);
    }

    private static AttemptResponse read(AttemptId attempt, ByteArrayOutputStream bytes) {
        FrameReader reader = new FrameReader(attempt, new ByteArrayInputStream(bytes.toByteArray()));
        return new AttemptResponse(reader, () -> {}, () -> {});
    }

    @FunctionalInterface
    private interface Frames {
        void write(FrameWriter writer) throws IOException;
    }
}
