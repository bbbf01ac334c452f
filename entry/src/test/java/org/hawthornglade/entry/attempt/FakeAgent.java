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

/** An agent with a plain service behind it that counts what really runs. */
final class FakeAgent implements AttemptTransport {
    /** What happens to one attempt. */
    enum Fault {
        NONE,
        NOT_SENT,
        DRAINING,
        /** The attempt is lost on its way; the agent can be asked. */
        LOST,
        /** The attempt arrives only when {@link #deliverDelayed} is called; the agent can be asked. */
        LATE,
        /** The attempt arrives only when {@link #deliverDelayed} is called; the cancel is lost. */
        LATE_AND_CANCEL_LOST,
        /** It runs, and the connection breaks before the head of the answer. */
        RUN_AND_BROKEN,
        /** It runs, and neither answer nor cancel come through. */
        RUN_AND_CANCEL_LOST,
        /** It runs, and the answer is cut in its middle. */
        RUN_AND_CUT,
        /** It runs, and the answer is that of another attempt. */
        RUN_AND_CROSSED
    }

    /** One run of a call. */
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

    void queueFaults(Fault... lined) {
        ArrayDeque<Fault> queue = new ArrayDeque<>(List.of(lined));
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
            return answer(
                    attempt, writer -> writer.refused(Failure.retryAfter(ResultCode.AGENT_DRAINING, "leaving", 100)));
        }
        run(attempt, run);
        return answerOf(fault, attempt, run);
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

    private static AttemptResponse answerOf(Fault fault, AttemptId attempt, Run run) throws IOException {
        byte[] body = ("ran " + run.request() + " " + run.key()).getBytes(UTF_8);
        return switch (fault) {
            case RUN_AND_BROKEN, RUN_AND_CANCEL_LOST -> throw new IOException("broken");
            case RUN_AND_CUT ->
                answer(attempt, writer -> {
                    writer.head(200, List.of());
                    writer.data(body, 0, 3);
                });
            case RUN_AND_CROSSED -> answerFrom(AttemptId.of("other.1"), attempt, body);
            default -> answerFrom(attempt, attempt, body);
        };
    }

    private static AttemptResponse answerFrom(AttemptId writer, AttemptId reader, byte[] body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        FrameWriter frames = new FrameWriter(writer, bytes);
        frames.head(200, List.of(new Header("Content-Type", "text/plain")));
        frames.keepAlive();
        frames.data(body, 0, body.length);
        frames.end();
        return read(reader, bytes);
    }

    private static AttemptResponse answer(AttemptId attempt, Frames frames) throws IOException {
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
