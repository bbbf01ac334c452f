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

/** Runs single attempts and says truly how each ended. */
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
     * Sends an attempt and waits for the first bytes of its answer.
     *
     * @return the answer, to be handed to {@link #close}; left if the attempt ended without one
     */
    Either<AttemptOutcome, OpenResponse> begin(CallerRequest caller, EntryCommand.Dispatch dispatch) {
        // The deadline is looked at right before sending: the process may have been frozen since the claim.
        long remainingMs = caller.request().deadlineAtMs() - clock.nowMs();
        if (remainingMs <= 0) {
            return Either.left(AttemptOutcome.notRun(Failure.retryAfter(
                    ResultCode.DEADLINE_PASSED_WAITING, "the deadline passed before it was sent", RETRY_AFTER_MS)));
        }
        openAttempts.register(dispatch.attempt());
        Either<AttemptOutcome, OpenResponse> begun = send(caller, dispatch, remainingMs);
        if (begun.isLeft()) {
            openAttempts.unregister(dispatch.attempt());
        }
        return begun;
    }

    /** Returns why an answer is not whole: the deadline, if it has passed. */
    AttemptOutcome incompleteOutcome(IncomingRequest request, AttemptOutcome outcome) {
        if (clock.nowMs() < request.deadlineAtMs()) {
            return outcome;
        }
        return AttemptOutcome.unknown(
                Failure.of(ResultCode.DEADLINE_PASSED_RUNNING, "the deadline passed while the answer came"),
                outcome.answerStarted());
    }

    /** Ends the reading of an answer. */
    void close(AttemptId attempt, OpenResponse answer) throws IOException {
        openAttempts.unregister(attempt);
        answer.close();
    }

    /**
     * Has the agent give an attempt up.
     *
     * @return not run only if the agent says so
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
        AttemptResponse answer;
        try {
            answer = transport.send(dispatch.instance(), dispatch.attempt(), caller, remainingMs);
        } catch (AttemptNotSentException e) {
            return Either.left(AttemptOutcome.notRun(
                    Failure.retryAfter(ResultCode.NO_ENDPOINT, String.valueOf(e.getMessage()), RETRY_AFTER_MS)));
        } catch (IOException e) {
            return Either.left(cancel(dispatch, connectionFailure(e)));
        }
        openAttempts.setAbortAction(dispatch.attempt(), answer::abort);
        Either<AttemptOutcome, OpenResponse> first;
        try {
            first = readFirstFrames(answer);
        } catch (IOException e) {
            first = Either.left(cancel(dispatch, connectionFailure(e)));
        }
        if (first.isLeft()) {
            closeQuietly(answer);
        }
        return first;
    }

    /** Reads up to the first bytes; a refusing frame is the agent's word that the attempt was not run. */
    private static Either<AttemptOutcome, OpenResponse> readFirstFrames(AttemptResponse answer) throws IOException {
        Frame head = nextAfterKeepAlives(answer);
        if (head.getKind() == FrameKind.REFUSED) {
            return Either.left(refusedOutcome(FailureFrames.failure(head)));
        }
        if (head.getKind() == FrameKind.FAILED) {
            return Either.left(AttemptOutcome.unknown(FailureFrames.failure(head), false));
        }
        if (head.getKind() != FrameKind.HEAD || !head.isSetStatus() || !head.isSetHeaders()) {
            throw new IOException("the answer begins with " + head.getKind());
        }
        Frame next = nextAfterKeepAlives(answer);
        return next.getKind() == FrameKind.FAILED
                ? Either.left(AttemptOutcome.unknown(FailureFrames.failure(next), false))
                : Either.right(new OpenResponse(answer, head, next));
    }

    private static AttemptOutcome refusedOutcome(Failure failure) {
        return failure.code().execution() == Execution.NOT_RUN
                ? AttemptOutcome.notRun(failure)
                : AttemptOutcome.unknown(failure, false);
    }

    private static Frame nextAfterKeepAlives(AttemptResponse answer) throws IOException {
        Frame frame = answer.nextFrame();
        while (frame.getKind() == FrameKind.KEEP_ALIVE) {
            frame = answer.nextFrame();
        }
        return frame;
    }

    private static Failure connectionFailure(IOException cause) {
        return Failure.of(ResultCode.OUTCOME_UNKNOWN, "the agent broke off: " + cause.getMessage());
    }

    private static void closeQuietly(AttemptResponse answer) {
        try {
            answer.close();
        } catch (IOException e) {
            // A connection that cannot be closed is not used again either.
            answer.abort();
        }
    }
}
