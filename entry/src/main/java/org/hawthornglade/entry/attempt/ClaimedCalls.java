package org.hawthornglade.entry.attempt;

import io.vavr.control.Either;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.hawthornglade.core.result.Execution;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.entry.claim.Claim;
import org.hawthornglade.entry.claim.ClaimRequest;
import org.hawthornglade.entry.claim.ClaimResult;
import org.hawthornglade.entry.claim.Claims;
import org.hawthornglade.entry.claim.RecordedResponse;
import org.hawthornglade.entry.claim.Settlement;
import org.hawthornglade.protocol.gen.Header;

/** Claims calls that may run at most once, and responds to repeated calls. */
public final class ClaimedCalls {
    private static final long RETRY_AFTER_MS = 500;
    private static final long MAX_RECORD_WAIT_MS = 250;
    /** How long after its deadline a holder may still respond; it also covers the clock difference between entries. */
    private static final long IN_PROGRESS_MARGIN_MS = 5_000;

    private final Claims claims;
    private final Clock clock;

    /** Creates an instance over the claims. */
    public ClaimedCalls(Claims claims, Clock clock) {
        this.claims = claims;
        this.clock = clock;
    }

    /**
     * Claims a call before its first byte is sent.
     *
     * @return the claim: taken by this request, or held by another one together with its state; left if the call must
     *     not be sent
     * @throws InterruptedException if the waiting thread is interrupted
     */
    Either<Failure, ClaimResult> claim(CallerRequest caller) throws InterruptedException {
        return claims.claim(claimRequest(caller));
    }

    /**
     * Responds to a request whose call another request has claimed: with the recorded response, or with a failure that
     * says that the call is in progress, was run or may have been run.
     */
    Either<Failure, CompleteResponse> respondToRepeat(Claim held) {
        if (held.state() == Claim.State.DONE) {
            return held.body() == null ? Either.left(notRecorded()) : Either.right(recordedResponse(held));
        }
        boolean mayBeRunning =
                held.state() == Claim.State.CLAIMED && clock.nowMs() < held.deadlineAtMs() + IN_PROGRESS_MARGIN_MS;
        return Either.left(mayBeRunning ? inProgress() : unknown());
    }

    /** Records the response; waits briefly until it is recorded, so that a repeated call finds it. */
    void recordResponse(CallerRequest caller, CompleteResponse response) throws InterruptedException {
        Future<Boolean> recorded = claims.settle(Settlement.done(
                claimRequest(caller),
                new RecordedResponse(response.status(), response.contentType(), response.body())));
        long waitMs = Math.min(MAX_RECORD_WAIT_MS, caller.request().deadlineAtMs() - clock.nowMs());
        try {
            recorded.get(Math.max(1, waitMs), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            // Recording continues in the background; until then a repeated call gets CALL_IN_PROGRESS.
        } catch (ExecutionException e) {
            throw new IllegalStateException("a settlement never fails with an exception", e);
        }
    }

    /** Records that a claimed call ended without a complete response. */
    @SuppressWarnings("FutureReturnValueIgnored") // recorded in the background
    void recordFailure(CallerRequest caller, Failure failure) {
        ClaimRequest claim = claimRequest(caller);
        boolean notRun = failure.code().execution() == Execution.NOT_RUN;
        claims.settle(notRun ? Settlement.notRun(claim) : Settlement.unknown(claim));
    }

    private static ClaimRequest claimRequest(CallerRequest caller) {
        return new ClaimRequest(
                caller.claimKey(), caller.request().id(), caller.request().deadlineAtMs());
    }

    private static CompleteResponse recordedResponse(Claim held) {
        List<Header> headers =
                held.contentType() == null ? List.of() : List.of(new Header("Content-Type", held.contentType()));
        return new CompleteResponse(held.status(), headers, Base64.getDecoder().decode(held.body()), true);
    }

    private static Failure inProgress() {
        return Failure.retryAfter(
                ResultCode.CALL_IN_PROGRESS, "a call with this idempotency key is in progress", RETRY_AFTER_MS);
    }

    private static Failure notRecorded() {
        return Failure.of(
                ResultCode.ALREADY_RUN, "a call with this idempotency key was run; its response was not recorded");
    }

    private static Failure unknown() {
        return Failure.of(
                ResultCode.OUTCOME_UNKNOWN,
                "a call with this idempotency key was sent before; whether it was run is not known");
    }
}
