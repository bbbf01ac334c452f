package org.hawthornglade.entry.attempt;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.Optional;
import org.hawthornglade.core.entry.AttemptOutcome;
import org.hawthornglade.core.entry.EntryCommand;
import org.hawthornglade.core.entry.IncomingRequest;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.result.Execution;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.protocol.gen.CancelOutcome;
import org.hawthornglade.protocol.gen.Frame;
import org.hawthornglade.protocol.gen.FrameKind;

/** Runs single attempts and determines the outcome of each. */
public final class AttemptRunner {
    private static final long RETRY_AFTER_MS = 500;

    private final AttemptTransport transport;
    private final OpenAttempts openAttempts;
    private final Clock clock;

    /** Creates a runner. */
    public AttemptRunner(AttemptTransport transport, OpenAttempts open, Clock clock) {
        this.transport = transport;
        this.openAttempts = open;
        this.clock = clock;
    }

    /**
     * Sends an attempt and waits for the first bytes of its response.
     *
     * @return the response, to be passed to {@link #close}; left if the attempt ended without one
     */
    Either<AttemptOutcome, OpenResponse> begin(CallerRequest caller, EntryCommand.Dispatch dispatch) {
        // Checked immediately before sending, since the process may have been suspended after the claim.
        long remainingMs = caller.request().deadlineAtMs() - clock.nowMs();
        if (remainingMs <= 0) {
            return Either.left(AttemptOutcome.notRun(Failure.retryAfter(
                    ResultCode.DEADLINE_PASSED_WAITING,
                    "the deadline passed before the attempt was sent",
                    RETRY_AFTER_MS)));
        }
        openAttempts.register(dispatch.attempt());
        Either<AttemptOutcome, OpenResponse> started = send(caller, dispatch, remainingMs);
        if (started.isLeft()) {
            openAttempts.unregister(dispatch.attempt());
        }
        return started;
    }

    /** Returns the outcome of an incomplete response, with a passed deadline as its cause. */
    AttemptOutcome incompleteOutcome(IncomingRequest request, AttemptOutcome outcome) {
        if (clock.nowMs() < request.deadlineAtMs()) {
            return outcome;
        }
        return AttemptOutcome.unknown(
                Failure.of(
                        ResultCode.DEADLINE_PASSED_RUNNING,
                        "the deadline passed while the response was being received"),
                outcome.answerStarted());
    }

    /** Ends the reading of a response and closes it. */
    void close(AttemptId attempt, OpenResponse response) throws IOException {
        openAttempts.unregister(attempt);
        response.close();
    }

    /**
     * Cancels an attempt at its agent.
     *
     * @return not run only if the agent confirms that the attempt never started, else unknown
     */
    AttemptOutcome cancel(EntryCommand.Dispatch dispatch, Failure cause) {
        Optional<CancelOutcome> cancelled = transport.cancel(dispatch.instance(), dispatch.attempt());
        if (cancelled.equals(Optional.of(CancelOutcome.NEVER_STARTED))) {
            return AttemptOutcome.notRun(
                    Failure.retryAfter(ResultCode.CANCELLED_BEFORE_START, cause.message(), RETRY_AFTER_MS));
        }
        return AttemptOutcome.unknown(cause, false);
    }

    private Either<AttemptOutcome, OpenResponse> send(
            CallerRequest caller, EntryCommand.Dispatch dispatch, long remainingMs) {
        AttemptResponse response;
        try {
            response = transport.send(dispatch.instance(), dispatch.attempt(), caller, remainingMs);
        } catch (AttemptNotSentException e) {
            return Either.left(AttemptOutcome.notRun(
                    Failure.retryAfter(ResultCode.NO_ENDPOINT, String.valueOf(e.getMessage()), RETRY_AFTER_MS)));
        } catch (IOException e) {
            return Either.left(cancel(dispatch, connectionFailure(e)));
        }
        openAttempts.setAbortAction(dispatch.attempt(), response::abort);
        Either<AttemptOutcome, OpenResponse> first;
        try {
            first = readFirstFrames(response);
        } catch (IOException e) {
            first = Either.left(cancel(dispatch, connectionFailure(e)));
        }
        if (first.isLeft()) {
            closeQuietly(response);
        }
        return first;
    }

    /** Reads up to the first bytes of the body; by a REFUSED frame the agent declares that the attempt was not run. */
    private static Either<AttemptOutcome, OpenResponse> readFirstFrames(AttemptResponse response) throws IOException {
        Frame head = nextAfterKeepAlives(response);
        if (head.getKind() == FrameKind.REFUSED) {
            return Either.left(refusedOutcome(FailureFrames.failure(head)));
        }
        if (head.getKind() == FrameKind.FAILED) {
            return Either.left(AttemptOutcome.unknown(FailureFrames.failure(head), false));
        }
        if (head.getKind() != FrameKind.HEAD || !head.isSetStatus() || !head.isSetHeaders()) {
            throw new IOException("the response starts with frame " + head.getKind());
        }
        Frame next = nextAfterKeepAlives(response);
        return next.getKind() == FrameKind.FAILED
                ? Either.left(AttemptOutcome.unknown(FailureFrames.failure(next), false))
                : Either.right(new OpenResponse(response, head, next));
    }

    private static AttemptOutcome refusedOutcome(Failure failure) {
        return failure.code().execution() == Execution.NOT_RUN
                ? AttemptOutcome.notRun(failure)
                : AttemptOutcome.unknown(failure, false);
    }

    private static Frame nextAfterKeepAlives(AttemptResponse response) throws IOException {
        Frame frame = response.nextFrame();
        while (frame.getKind() == FrameKind.KEEP_ALIVE) {
            frame = response.nextFrame();
        }
        return frame;
    }

    private static Failure connectionFailure(IOException cause) {
        return Failure.of(ResultCode.OUTCOME_UNKNOWN, "the connection to the agent failed: " + cause.getMessage());
    }

    private static void closeQuietly(AttemptResponse response) {
        try {
            response.close();
        } catch (IOException e) {
            // A connection that cannot be closed must not be reused.
            response.abort();
        }
    }
}
