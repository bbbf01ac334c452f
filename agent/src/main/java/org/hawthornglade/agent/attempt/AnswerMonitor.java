package org.hawthornglade.agent.attempt;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.locks.ReentrantLock;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.protocol.frame.FrameWriter;
import org.hawthornglade.protocol.gen.Header;

/**
 * Writes the frames of one attempt's answer, for the thread that reads from the endpoint and for a timer.
 *
 * <p>The timer sends keep-alive frames while an attempt is slow, detects an entry that has disconnected before the
 * endpoint has answered, and aborts the call to an endpoint that falls silent in the middle of an answer.
 */
final class AnswerMonitor {
    private final FrameWriter writer;
    private final AnswerTimeouts timeouts;
    private final Clock clock;
    private final Runnable abort;
    private final ReentrantLock lock = new ReentrantLock();
    private long lastFrameAtMs;
    private long lastByteAtMs;
    private boolean headSent;
    private boolean ended;
    private boolean timedOut;
    private IOException sinkFailure;

    /** Creates a monitor; {@code abort} aborts the call to the endpoint. */
    AnswerMonitor(FrameWriter writer, AnswerTimeouts limits, Clock clock, Runnable abort) {
        this.writer = writer;
        this.timeouts = limits;
        this.clock = clock;
        this.abort = abort;
        this.lastFrameAtMs = clock.nowMs();
    }

    void head(int status, List<Header> headers) throws IOException {
        write(() -> writer.head(status, headers));
        headSent = true;
    }

    void data(byte[] bytes, int length) throws IOException {
        write(() -> writer.data(bytes, 0, length));
    }

    void end() throws IOException {
        write(writer::end);
        ended = true;
    }

    void failed(Failure failure) throws IOException {
        write(() -> writer.failed(failure));
        ended = true;
    }

    /** Returns whether the call was aborted because the endpoint fell silent in the middle of its answer. */
    boolean endpointTimedOut() {
        lock.lock();
        try {
            return timedOut;
        } finally {
            lock.unlock();
        }
    }

    /** Checks that the timer could write its frames.
     *
     * @throws FrameSinkException if it could not */
    void checkSink() throws FrameSinkException {
        lock.lock();
        try {
            if (sinkFailure != null) {
                throw new FrameSinkException(sinkFailure);
            }
        } finally {
            lock.unlock();
        }
    }

    /** Checks the time limits; called by the timer. Does nothing while a frame is being written. */
    void tick() {
        if (!lock.tryLock()) {
            return;
        }
        try {
            tickLocked(clock.nowMs());
        } finally {
            lock.unlock();
        }
    }

    private void tickLocked(long nowMs) {
        if (ended || timedOut || sinkFailure != null) {
            return;
        }
        if (headSent && nowMs - lastByteAtMs >= timeouts.betweenBytesTimeoutMs()) {
            timedOut = true;
            abort.run();
            return;
        }
        if (nowMs - lastFrameAtMs < timeouts.keepAliveIntervalMs()) {
            return;
        }
        try {
            writer.keepAlive();
            lastFrameAtMs = nowMs;
        } catch (IOException e) {
            sinkFailure = e;
            abort.run();
        }
    }

    private void write(FrameWrite frame) throws IOException {
        lock.lock();
        try {
            frame.run();
            lastFrameAtMs = clock.nowMs();
            lastByteAtMs = lastFrameAtMs;
        } catch (IOException e) {
            throw new FrameSinkException(e);
        } finally {
            lock.unlock();
        }
    }

    @FunctionalInterface
    private interface FrameWrite {
        void run() throws IOException;
    }
}
