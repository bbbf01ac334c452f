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

/** Runs requests through decisions and attempts until there is a response or a refusal. */
public final class RequestRunner {
    private final PendingRequests pending;
    private final Consumer<EntryEvent> events;
    private final AttemptRunner attempts;
    private final ClaimedCalls claimed;
    private final int maxResponseBytes;

    /**
     * Creates a runner.
     *
     * @param pending delivers the decisions on requests
     * @param events receives the events of requests
     * @param attempts runs attempts
     * @param claimed claims calls that may run at most once
     * @param maxResponseBytes the largest response that is buffered, in bytes
     */
    public RequestRunner(
            PendingRequests pending,
            Consumer<EntryEvent> events,
            AttemptRunner attempts,
            ClaimedCalls claimed,
            int maxResponseBytes) {
        this.pending = pending;
        this.events = events;
        this.attempts = attempts;
        this.claimed = claimed;
        this.maxResponseBytes = maxResponseBytes;
    }

    /**
     * Runs an idempotent request until the first bytes of its response have arrived.
     *
     * @return the response, to be copied with {@link #stream}; left if the request ended without one
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public Either<Failure, StreamingResponse> startStreaming(CallerRequest caller) throws InterruptedException {
        return decide(
                caller,
                dispatch -> attempts.begin(caller, dispatch)
                        .map(response -> new StreamingResponse(caller.request(), dispatch, response)));
    }

    /**
     * Runs a request until its complete response is received; claims the call first if it may run at most once.
     *
     * @return left if the request ended without a response
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public Either<Failure, CompleteResponse> runToCompletion(CallerRequest caller) throws InterruptedException {
        if (caller.claimKey() == null) {
            return decide(caller, dispatch -> attempt(caller, dispatch));
        }
        AtMostOnceCall call = new AtMostOnceCall(caller);
        try {
            Either<Failure, CompleteResponse> response = decide(caller, call::attempt);
            call.settle(response);
            return response;
        } catch (InterruptedException | RuntimeException e) {
            call.settleInterrupted();
            throw e;
        }
    }

    /**
     * Streams a started response to the caller.
     *
     * @return how the attempt ended
     * @throws IOException if the caller can no longer be written to; the attempt is abandoned
     */
    public AttemptOutcome stream(StreamingResponse started, OutputStream out) throws IOException {
        EntryCommand.Dispatch dispatch = started.dispatch();
        AttemptOutcome outcome =
                AttemptOutcome.unknown(Failure.of(ResultCode.ANSWER_INCOMPLETE, "the caller disconnected"), true);
        try {
            outcome = started.response().copyTo(out);
            if (!outcome.isComplete()) {
                outcome = attempts.incompleteOutcome(started.request(), outcome);
            }
            return outcome;
        } finally {
            attempts.close(dispatch.attempt(), started.response());
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
                Either<AttemptOutcome, T> response = attempt.run(dispatch);
                if (response.isRight()) {
                    return Either.right(response.get());
                }
                events.accept(new EntryEvent.AttemptEnded(dispatch.attempt(), response.getLeft()));
            }
        } finally {
            pending.unregister(id);
        }
    }

    private Either<AttemptOutcome, CompleteResponse> attempt(CallerRequest caller, EntryCommand.Dispatch dispatch) {
        Either<AttemptOutcome, CompleteResponse> response =
                attempts.begin(caller, dispatch).flatMap(open -> collect(dispatch, open));
        if (response.isRight()) {
            events.accept(new EntryEvent.AttemptEnded(dispatch.attempt(), AttemptOutcome.complete()));
        }
        return response;
    }

    private Either<AttemptOutcome, CompleteResponse> collect(EntryCommand.Dispatch dispatch, OpenResponse open) {
        ByteArrayOutputStream body = new BoundedBuffer(maxResponseBytes);
        AttemptOutcome outcome;
        try {
            try {
                outcome = open.copyTo(body);
            } finally {
                attempts.close(dispatch.attempt(), open);
            }
        } catch (IOException e) {
            Failure failure = Failure.of(ResultCode.ANSWER_INCOMPLETE, String.valueOf(e.getMessage()));
            outcome = AttemptOutcome.unknown(failure, false);
        }
        if (!outcome.isComplete()) {
            return Either.left(AttemptOutcome.unknown(outcome.failure(), false));
        }
        return Either.right(new CompleteResponse(open.status(), open.headers(), body.toByteArray(), false));
    }

    /** Runs one attempt to get a response. */
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
            Either<AttemptOutcome, CompleteResponse> response = RequestRunner.this.attempt(caller, dispatch);
            maySend = false;
            return response;
        }

        void settle(Either<Failure, CompleteResponse> response) throws InterruptedException {
            if (!held) {
                return;
            }
            if (response.isRight()) {
                claimed.recordResponse(caller, response.get());
            } else {
                claimed.recordFailure(caller, response.getLeft());
            }
        }

        /** Settles a call whose thread was interrupted or failed while the call may have been sent. */
        void settleInterrupted() {
            if (held && maySend) {
                claimed.recordFailure(
                        caller, Failure.of(ResultCode.OUTCOME_UNKNOWN, "the request thread was interrupted or failed"));
            }
        }

        private Either<AttemptOutcome, CompleteResponse> respondToRepeat(
                EntryCommand.Dispatch dispatch, ClaimResult.HeldByOther other) {
            Either<AttemptOutcome, CompleteResponse> response =
                    claimed.respondToRepeat(other.claim()).mapLeft(failure -> AttemptOutcome.unknown(failure, false));
            if (response.isRight()) {
                events.accept(new EntryEvent.AttemptEnded(dispatch.attempt(), AttemptOutcome.complete()));
            }
            return response;
        }
    }
}
