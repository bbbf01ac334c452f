package org.hawthornglade.entry.attempt;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.function.Consumer;
import org.hawthornglade.core.entry.AttemptOutcome;
import org.hawthornglade.core.entry.EntryCommand;
import org.hawthornglade.core.entry.EntryEvent;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.entry.claim.ClaimResult;

/** Carries requests through decisions and attempts until there is an answer or a refusal. */
public final class RequestRunner {
    private final PendingRequests pending;
    private final Consumer<EntryEvent> events;
    private final AttemptRunner attempts;
    private final ClaimedCalls claimed;
    private final int maxResponseBytes;

    /**
     * Creates a runner.
     *
     * @param pending gives the decisions on requests
     * @param events takes what happens to requests
     * @param attempts runs attempts
     * @param claimed claims calls that may run at most once
     * @param maxAnswerBytes the largest answer that is collected, in bytes
     */
    public RequestRunner(
            PendingRequests pending,
            Consumer<EntryEvent> events,
            AttemptRunner attempts,
            ClaimedCalls claimed,
            int maxAnswerBytes) {
        this.pending = pending;
        this.events = events;
        this.attempts = attempts;
        this.claimed = claimed;
        this.maxResponseBytes = maxAnswerBytes;
    }

    /**
     * Runs an idempotent request until the first bytes of its answer have come.
     *
     * @return the answer, to be passed on with {@link #stream}; left if the request ended without one
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public Either<Failure, StreamingResponse> startStreaming(CallerRequest caller) throws InterruptedException {
        return decide(
                caller,
                dispatch -> attempts.begin(caller, dispatch)
                        .map(answer -> new StreamingResponse(caller.request(), dispatch, answer)));
    }

    /**
     * Runs a request until its whole answer is there; claims the call first if it may run at most once.
     *
     * @return left if the request ended without an answer
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public Either<Failure, CompleteResponse> runToCompletion(CallerRequest caller) throws InterruptedException {
        if (caller.claimKey() == null) {
            return decide(caller, dispatch -> attempt(caller, dispatch));
        }
        AtMostOnceCall call = new AtMostOnceCall(caller);
        try {
            Either<Failure, CompleteResponse> answer = decide(caller, call::attempt);
            call.settle(answer);
            return answer;
        } catch (InterruptedException | RuntimeException e) {
            call.settleInterrupted();
            throw e;
        }
    }

    /**
     * Passes a begun answer on to the caller.
     *
     * @return how the attempt ended
     * @throws IOException if the caller can no longer be written to; the attempt is given up
     */
    public AttemptOutcome stream(StreamingResponse running, OutputStream out) throws IOException {
        EntryCommand.Dispatch dispatch = running.dispatch();
        AttemptOutcome outcome =
                AttemptOutcome.unknown(Failure.of(ResultCode.ANSWER_INCOMPLETE, "the caller went away"), true);
        try {
            outcome = running.response().copyTo(out);
            if (!outcome.isComplete()) {
                outcome = attempts.incompleteOutcome(running.request(), outcome);
            }
            return outcome;
        } finally {
            attempts.close(dispatch.attempt(), running.response());
            AttemptOutcome ended = outcome.isComplete() ? outcome : AttemptOutcome.unknown(outcome.failure(), true);
            events.accept(new EntryEvent.AttemptEnded(dispatch.attempt(), ended));
        }
    }

    private <T> Either<Failure, T> decide(CallerRequest caller, Attempt<T> attempt) throws InterruptedException {
        RequestId id = caller.request().id();
        pending.register(id);
        try {
            events.accept(new EntryEvent.RequestArrived(caller.request()));
            while (true) {
                EntryCommand decision = pending.await(id);
                if (decision instanceof EntryCommand.Refuse refuse) {
                    return Either.left(refuse.failure());
                }
                EntryCommand.Dispatch dispatch = (EntryCommand.Dispatch) decision;
                Either<AttemptOutcome, T> answer = attempt.run(dispatch);
                if (answer.isRight()) {
                    return Either.right(answer.get());
                }
                events.accept(new EntryEvent.AttemptEnded(dispatch.attempt(), answer.getLeft()));
            }
        } finally {
            pending.unregister(id);
        }
    }

    private Either<AttemptOutcome, CompleteResponse> attempt(CallerRequest caller, EntryCommand.Dispatch dispatch) {
        Either<AttemptOutcome, CompleteResponse> answer =
                attempts.begin(caller, dispatch).flatMap(opened -> collect(dispatch, opened));
        if (answer.isRight()) {
            events.accept(new EntryEvent.AttemptEnded(dispatch.attempt(), AttemptOutcome.complete()));
        }
        return answer;
    }

    private Either<AttemptOutcome, CompleteResponse> collect(EntryCommand.Dispatch dispatch, OpenResponse opened) {
        ByteArrayOutputStream body = new BoundedBuffer(maxResponseBytes);
        AttemptOutcome outcome;
        try {
            try {
                outcome = opened.copyTo(body);
            } finally {
                attempts.close(dispatch.attempt(), opened);
            }
        } catch (IOException e) {
            Failure failure = Failure.of(ResultCode.ANSWER_INCOMPLETE, String.valueOf(e.getMessage()));
            outcome = AttemptOutcome.unknown(failure, false);
        }
        if (!outcome.isComplete()) {
            return Either.left(AttemptOutcome.unknown(outcome.failure(), false));
        }
        return Either.right(new CompleteResponse(opened.status(), opened.headers(), body.toByteArray(), false));
    }

    /** Tries to get an answer by one attempt. */
    @FunctionalInterface
    private interface Attempt<T> {
        Either<AttemptOutcome, T> run(EntryCommand.Dispatch dispatch) throws InterruptedException;
    }

    /** One call that may run at most once, from its claim to its settlement; for use by one thread. */
    private final class AtMostOnceCall {
        private final CallerRequest caller;
        private boolean held;
        private boolean maySend;

        AtMostOnceCall(CallerRequest caller) {
            this.caller = caller;
        }

        Either<AttemptOutcome, CompleteResponse> attempt(EntryCommand.Dispatch dispatch) throws InterruptedException {
            if (!held) {
                Either<Failure, ClaimResult> claim = claimed.claim(caller);
                if (claim.isLeft()) {
                    return Either.left(AttemptOutcome.notRun(claim.getLeft()));
                }
                if (claim.get() instanceof ClaimResult.HeldByOther other) {
                    return respondToRepeat(dispatch, other);
                }
                held = true;
            }
            events.accept(new EntryEvent.AttemptClaimed(dispatch.attempt()));
            maySend = true;
            Either<AttemptOutcome, CompleteResponse> answer = RequestRunner.this.attempt(caller, dispatch);
            maySend = false;
            return answer;
        }

        void settle(Either<Failure, CompleteResponse> answer) throws InterruptedException {
            if (!held) {
                return;
            }
            if (answer.isRight()) {
                claimed.recordResponse(caller, answer.get());
            } else {
                claimed.recordFailure(caller, answer.getLeft());
            }
        }

        /** Settles a call whose thread was broken off. */
        void settleInterrupted() {
            if (held && maySend) {
                claimed.recordFailure(caller, Failure.of(ResultCode.OUTCOME_UNKNOWN, "broken off"));
            }
        }

        private Either<AttemptOutcome, CompleteResponse> respondToRepeat(
                EntryCommand.Dispatch dispatch, ClaimResult.HeldByOther other) {
            Either<AttemptOutcome, CompleteResponse> answer =
                    claimed.respondToRepeat(other.claim()).mapLeft(failure -> AttemptOutcome.unknown(failure, false));
            if (answer.isRight()) {
                events.accept(new EntryEvent.AttemptEnded(dispatch.attempt(), AttemptOutcome.complete()));
            }
            return answer;
        }
    }
}
