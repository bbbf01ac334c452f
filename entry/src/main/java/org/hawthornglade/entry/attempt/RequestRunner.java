package org.hawthornglade.entry.attempt;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ConnectException;
import java.util.function.Consumer;
import org.hawthornglade.core.entry.AttemptOutcome;
import org.hawthornglade.core.entry.EntryCommand;
import org.hawthornglade.core.entry.EntryEvent;
import org.hawthornglade.core.entry.IncomingRequest;
import org.hawthornglade.core.id.AttemptId;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.result.Execution;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.entry.claim.ClaimResult;
import org.hawthornglade.entry.claim.Claims;
import org.hawthornglade.entry.claim.RecordedAnswer;
import org.hawthornglade.entry.control.AgentAddress;
import org.hawthornglade.entry.control.AgentLinks;
import org.hawthornglade.protocol.gen.CancelOutcome;
import org.hawthornglade.protocol.gen.Frame;
import org.hawthornglade.protocol.gen.FrameKind;

/** Carries requests through decisions and attempts until there is an answer or a refusal. */
public final class RequestRunner {
    private static final long RETRY_MS = 500;

    private final PendingRequests pending;
    private final Consumer<EntryEvent> events;
    private final AttemptClient client;
    private final AgentLinks links;
    private final Claims claims;
    private final Clock clock;
    private final int maxAnswerBytes;

    /** Creates a runner. */
    public RequestRunner(
            PendingRequests pending,
            Consumer<EntryEvent> events,
            AttemptClient client,
            AgentLinks links,
            Claims claims,
            Clock clock,
            int maxAnswerBytes) {
        this.pending = pending;
        this.events = events;
        this.client = client;
        this.links = links;
        this.claims = claims;
        this.clock = clock;
        this.maxAnswerBytes = maxAnswerBytes;
    }

    /**
     * Runs a request until its answer has begun.
     *
     * @return the answer, to be passed on with {@link #passOn}; left if the request ended without one
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public Either<Failure, RunningAnswer> begin(CallerRequest caller) throws InterruptedException {
        IncomingRequest request = caller.request();
        pending.open(request.id());
        events.accept(new EntryEvent.RequestArrived(request));
        while (true) {
            EntryCommand decision = pending.await(request.id());
            if (decision instanceof EntryCommand.Refuse refuse) {
                pending.close(request.id());
                return Either.left(refuse.failure());
            }
            EntryCommand.Dispatch dispatch = (EntryCommand.Dispatch) decision;
            Either<AttemptOutcome, OpenAnswer> opened = open(caller, dispatch);
            if (opened.isRight()) {
                return Either.right(new RunningAnswer(request.id(), dispatch.attempt(), opened.get()));
            }
            events.accept(new EntryEvent.AttemptEnded(dispatch.attempt(), opened.getLeft()));
        }
    }

    /**
     * Runs a request until its whole answer is there.
     *
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public Either<Failure, WholeAnswer> whole(CallerRequest caller) throws InterruptedException {
        IncomingRequest request = caller.request();
        pending.open(request.id());
        try {
            events.accept(new EntryEvent.RequestArrived(request));
            while (true) {
                EntryCommand decision = pending.await(request.id());
                if (decision instanceof EntryCommand.Refuse refuse) {
                    settle(caller, refuse.failure());
                    return Either.left(refuse.failure());
                }
                EntryCommand.Dispatch dispatch = (EntryCommand.Dispatch) decision;
                Either<AttemptOutcome, WholeAnswer> answer = claimed(caller)
                        .flatMap(none -> open(caller, dispatch))
                        .flatMap(opened -> collect(dispatch, opened));
                if (answer.isRight()) {
                    settle(caller, answer.get());
                    events.accept(new EntryEvent.AttemptEnded(dispatch.attempt(), AttemptOutcome.complete()));
                    return Either.right(answer.get());
                }
                events.accept(new EntryEvent.AttemptEnded(dispatch.attempt(), answer.getLeft()));
            }
        } finally {
            pending.close(request.id());
        }
    }

    /**
     * Passes a begun answer on to the caller.
     *
     * @return empty if it was whole; else why not
     * @throws IOException if the caller can no longer be written to
     */
    public AttemptOutcome passOn(RunningAnswer running, OutputStream out) throws IOException {
        AttemptOutcome outcome =
                AttemptOutcome.unknown(Failure.of(ResultCode.ANSWER_INCOMPLETE, "the caller went away"), true);
        try (OpenAnswer answer = running.answer()) {
            outcome = answer.passOn(out);
            return outcome;
        } finally {
            AttemptOutcome ended = outcome.isComplete() ? outcome : AttemptOutcome.unknown(outcome.failure(), true);
            events.accept(new EntryEvent.AttemptEnded(running.attempt(), ended));
            pending.close(running.request());
        }
    }

    private Either<AttemptOutcome, OpenAnswer> open(CallerRequest caller, EntryCommand.Dispatch dispatch) {
        AgentAddress agent = links.address(dispatch.instance()).orElse(null);
        if (agent == null) {
            return Either.left(AttemptOutcome.notRun(
                    Failure.retryAfter(ResultCode.NO_ENDPOINT, "the endpoint is gone", RETRY_MS)));
        }
        long remainingMs = caller.request().deadlineAtMs() - clock.nowMs();
        if (remainingMs <= 0) {
            return Either.left(AttemptOutcome.notRun(Failure.retryAfter(
                    ResultCode.DEADLINE_PASSED_WAITING, "the deadline passed before it was sent", RETRY_MS)));
        }
        try {
            AttemptAnswer answer = client.send(agent, dispatch.attempt(), caller.request(), caller.call(), remainingMs);
            return first(answer);
        } catch (ConnectException | AttemptRejectedException e) {
            return Either.left(AttemptOutcome.notRun(
                    Failure.retryAfter(ResultCode.NO_ENDPOINT, String.valueOf(e.getMessage()), RETRY_MS)));
        } catch (IOException e) {
            return Either.left(giveUp(dispatch.instance(), dispatch.attempt(), e));
        }
    }

    private void settle(CallerRequest caller, Failure failure) {
        if (caller.claimKey() != null && failure.code().execution() == Execution.NOT_RUN) {
            claims.notRun(caller.claimKey(), caller.request().id());
        }
    }

    private void settle(CallerRequest caller, WholeAnswer answer) {
        if (caller.claimKey() != null) {
            claims.done(
                    caller.claimKey(),
                    caller.request().id(),
                    new RecordedAnswer(answer.status(), answer.contentType(), answer.body()));
        }
    }

    private Either<AttemptOutcome, Boolean> claimed(CallerRequest caller) {
        if (caller.claimKey() == null) {
            return Either.right(true);
        }
        return claims.claim(caller.claimKey(), caller.request().id())
                .mapLeft(AttemptOutcome::notRun)
                .flatMap(result ->
                        result instanceof ClaimResult.Taken ? Either.right(true) : Either.left(heldByOther()));
    }

    private static AttemptOutcome heldByOther() {
        return AttemptOutcome.unknown(
                Failure.retryAfter(
                        ResultCode.CALL_IN_PROGRESS, "a call with this idempotency key was sent before", RETRY_MS),
                false);
    }

    /** Reads up to the head; a refusing frame is the agent's word that the attempt was not run. */
    private static Either<AttemptOutcome, OpenAnswer> first(AttemptAnswer answer) throws IOException {
        Frame frame = answer.next();
        while (frame.getKind() == FrameKind.KEEP_ALIVE) {
            frame = answer.next();
        }
        if (frame.getKind() == FrameKind.HEAD) {
            return Either.right(new OpenAnswer(answer, frame));
        }
        answer.close();
        if (frame.getKind() == FrameKind.REFUSED) {
            return Either.left(AttemptOutcome.notRun(Frames.failure(frame)));
        }
        return Either.left(AttemptOutcome.unknown(Frames.failure(frame), false));
    }

    private Either<AttemptOutcome, WholeAnswer> collect(EntryCommand.Dispatch dispatch, OpenAnswer opened) {
        ByteArrayOutputStream body = new BoundedBuffer(maxAnswerBytes);
        try (OpenAnswer answer = opened) {
            AttemptOutcome outcome = answer.passOn(body);
            if (outcome.isComplete()) {
                return Either.right(new WholeAnswer(answer.status(), answer.headers(), body.toByteArray()));
            }
            return Either.left(AttemptOutcome.unknown(outcome.failure(), false));
        } catch (IOException e) {
            return Either.left(giveUp(dispatch.instance(), dispatch.attempt(), e));
        }
    }

    /** Asks the agent to give the attempt up and to say whether it ran. */
    private AttemptOutcome giveUp(InstanceId instance, AttemptId attempt, IOException cause) {
        Failure failure = Failure.of(ResultCode.OUTCOME_UNKNOWN, "the agent broke off: " + cause.getMessage());
        Either<Failure, CancelOutcome> cancelled = links.cancel(instance, attempt);
        if (cancelled.isRight() && cancelled.get() == CancelOutcome.NEVER_STARTED) {
            return AttemptOutcome.notRun(
                    Failure.retryAfter(ResultCode.CANCELLED_BEFORE_START, failure.message(), RETRY_MS));
        }
        return AttemptOutcome.unknown(failure, false);
    }
}
