package org.hawthornglade.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;
import java.util.function.Consumer;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.Decision;
import org.hawthornglade.core.dispatch.PermitWaiter;
import org.hawthornglade.core.dispatch.ReplicaShortage;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Permits;
import org.hawthornglade.core.id.SoftwareVersion;
import org.hawthornglade.core.overload.StartPrediction;
import org.hawthornglade.core.result.Execution;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.resumption.StreamOrigin;
import org.hawthornglade.core.resumption.TakeUpDecision;
import org.hawthornglade.core.serving.CallKind;
import org.hawthornglade.gateway.http.IncomingCall;
import org.hawthornglade.gateway.http.OutboundFailure;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.port.CallRequest;
import org.hawthornglade.gateway.port.ResponseHead;

/**
 * Handles one call from its arrival to its final response.
 *
 * <p>At most one attempt is in progress at a time. A call that may run only once is sent again only if an endpoint has
 * stated that it did not run it, or if no connection could be made.
 */
public final class Exchange {
    /** Retry-After when no further attempt is allowed. */
    private static final long BUSY_RETRY_AFTER_MS = 500;

    private final ExchangeContext context;
    private final long number;
    private final IncomingCall call;
    private final CallRequest request;
    private final CallView view;
    private final QuotaHold quotaHold;
    private final Consumer<Exchange> onEnded;
    private final ResponseWriter response;
    private final CallRecord record;
    private final KeptResponse keptResponse;
    private final WaitingPlace place;
    private final RunHistory history;
    private final EndpointAvoidance avoidance;
    private final PermitWaiter permitWaiter = new PermitWaiter();
    private Timers.Timeout deadline;
    private Attempt attempt;
    private boolean streamBegun;
    private boolean ended;

    Exchange(
            ExchangeContext context,
            long number,
            IncomingCall call,
            CallRequest request,
            CallView view,
            QuotaHold quotaHold,
            long configurationVersion,
            Consumer<Exchange> onEnded) {
        this.context = context;
        this.onEnded = onEnded;
        this.number = number;
        this.call = call;
        this.request = request;
        this.view = view;
        this.quotaHold = quotaHold;
        this.response = new ResponseWriter(context.protocol(), call.response(), request);
        this.record = new CallRecord(request.id(), view, configurationVersion);
        this.keptResponse = new KeptResponse(context.bufferBudget());
        this.place = new WaitingPlace(context, this);
        this.history = new RunHistory(context, view);
        this.avoidance = new EndpointAvoidance(context, view);
    }

    public CallView view() {
        return view;
    }

    long number() {
        return number;
    }

    /** Returns the time by which waiting calls of one priority are ordered. */
    long turnAtMs() {
        return place.turnAtMs();
    }

    IncomingCall call() {
        return call;
    }

    CallRequest request() {
        return request;
    }

    ResponseWriter response() {
        return response;
    }

    CallRecord record() {
        return record;
    }

    void start() {
        call.response().onGone(this::onCallerGone);
        long remainingMs = Math.max(0, view.remainingMs(context.clock().nowMs()));
        deadline = context.timers().after(remainingMs, this::onDeadline);
        context.retryBudgets().of(view.service()).onRequest();
        place.onArrived();
        if (view.route().kind() == CallKind.STREAM && request.takeUp().isPresent()) {
            context.resumption().decide(request.id(), request.takeUp().get(), view.service(), this::onTakeUp);
            return;
        }
        if (call.pipelined() && !context.waitingCalls().isEmpty()) {
            place.takeTurn();
            return;
        }
        decideNew();
    }

    /** Decides on a call that has arrived; after the waiting ones if its caller was to come back later. */
    private void decideNew() {
        if (!place.yields()) {
            decide();
            return;
        }
        record.onWait(new Decision.Wait("early-retry"));
        enqueue();
        place.reconsiderQueue();
    }

    /** Handles the decision on a stream that an earlier attempt of the caller began. */
    private void onTakeUp(TakeUpDecision decision) {
        if (ended) {
            return;
        }
        if (decision instanceof TakeUpDecision.GoOn goOn) {
            view.onTakenUp(goOn.origin());
            decideNew();
        } else if (decision instanceof TakeUpDecision.Refuse refusal) {
            refuse(refusal.code(), refusal.retryAfterMs());
        }
    }

    /** Decides again on a waiting call. */
    void reconsider() {
        if (ended || attempt != null) {
            return;
        }
        context.waitingCalls().remove(this);
        decide();
    }

    private void decide() {
        permitWaiter.leave();
        Decision decision = context.dispatcher().decide(view, context.clock().nowMs());
        if (decision instanceof Decision.Send send) {
            send(send);
        } else if (decision instanceof Decision.AwaitPermit awaitPermit) {
            requestPermit(awaitPermit);
        } else if (decision instanceof Decision.Wait wait) {
            record.onWait(wait);
            if (!refuseIfLate(wait)) {
                enqueue();
            }
        } else if (decision instanceof Decision.Refuse refusal) {
            refuse(refusal.code(), refusal.retryAfterMs());
        }
    }

    /** Refuses a call that has not run if no endpoint is expected to have room for it in time. */
    private boolean refuseIfLate(Decision.Wait wait) {
        long nowMs = context.clock().nowMs();
        Optional<StartPrediction> predicted = context.waitingCalls()
                .overloadControl()
                .predict(view, place.urgency(), wait, context.waitingCalls(), nowMs);
        if (predicted.isEmpty()) {
            return false;
        }
        record.onStartPredicted(nowMs + predicted.get().startInMs());
        boolean mayRefuse = !history.hasRun() && !response.started() && !keptResponse.present();
        long leftMs = view.abandonAtMs() - nowMs;
        if (!mayRefuse || !predicted.get().tooLate(leftMs, place.hasWaited())) {
            return false;
        }
        record.logLate(context.log(), context.metrics(), predicted.get(), leftMs);
        refuse(ResultCode.DEADLINE_NOT_REACHABLE, Math.max(1, predicted.get().startInMs()));
        return true;
    }

    private void requestPermit(Decision.AwaitPermit awaitPermit) {
        record.onWait(new Decision.Wait("limit", awaitPermit.expectedAtMs()));
        if (permitWaiter.join(awaitPermit, view, context.clock().nowMs())) {
            context.waitingCalls().notifyDemandChanged();
        }
        if (awaitPermit.briefly()) {
            context.timers().after(Permits.BRIEF_WAIT_MS + 1, this::reconsider);
        }
        enqueue();
    }

    /**
     * Refuses a waiting call because this entry stops; another entry may serve it.
     *
     * <p>A call whose response has begun cannot be refused, and goes on waiting for as long as the stop allows.
     */
    void refuseAtStop() {
        if (!ended && attempt == null && !response.started()) {
            refuse(ResultCode.STOPPING, CallReceiver.STOPPING_RETRY_AFTER_MS);
        }
    }

    /** Logs the call if it is open. */
    void logOpen() {
        if (!ended) {
            record.logOpen(context.log(), stage(), context.clock().nowMs());
        }
    }

    private CallStage stage() {
        if (response.started()) {
            return CallStage.BEGUN;
        }
        return attempt == null ? CallStage.WAITING : CallStage.SENT;
    }

    /** Ends an open call because this entry stops before the response. */
    void failAtStop() {
        if (ended) {
            return;
        }
        boolean mayHaveRun = mayHaveRun();
        cancelAttempt();
        record.addNote("stopping");
        ResultCode code = mayHaveRun ? ResultCode.OUTCOME_UNKNOWN : ResultCode.STOPPING;
        fail(code, mayHaveRun ? 0 : CallReceiver.STOPPING_RETRY_AFTER_MS);
    }

    private void enqueue() {
        if (context.waitingCalls().refusing() && !response.started()) {
            refuseAtStop();
            return;
        }
        if (!place.hasWaited()) {
            recordShortage();
        }
        place.enqueue();
    }

    private void recordShortage() {
        view.demand()
                .ifPresent(demand -> record.onShortage(ReplicaShortage.of(
                        demand,
                        context.fleet().usable(view.service()),
                        context.clock().nowMs())));
    }

    private void send(Decision.Send decision) {
        record.onSent(decision, context.clock().nowMs());
        place.onSent(decision.endpoint());
        attempt = new Attempt(context, this, decision.endpoint(), decision.cachedTokens());
        attempt.start();
    }

    /** Handles events of a stream, written by an instance with this version of its software. */
    void onEvents(SoftwareVersion version) {
        record.onFirstByte(context.clock().nowMs());
        if (streamBegun) {
            return;
        }
        streamBegun = true;
        view.onStreamBegun(version);
        StreamOrigin origin = new StreamOrigin(view.service(), version);
        context.resumption().onBegun(request.id(), origin, view.deadlineAtMs());
    }

    /** Handles a failed connection attempt; nothing was sent. */
    void onConnectFailed(Endpoint endpoint) {
        attempt = null;
        view.tried().add(endpoint.id());
        record.addNote("unreachable:" + endpoint.id());
        retryNotRun();
    }

    /** Handles an endpoint that stopped accepting calls before this one was sent. */
    void onEndpointUnavailable(Endpoint endpoint) {
        attempt = null;
        record.addNote("shut:" + endpoint.id());
        retryNotRun();
    }

    /** Handles an instance that was not asked to go on with a stream, since it may have started again. */
    void onStartUnconfirmed(Endpoint endpoint, StartCheck.Result result) {
        attempt = null;
        record.addNote("start-" + result + ":" + endpoint.id());
        avoidance.onStartUnconfirmed(endpoint, result);
        retryNotRun();
    }

    /** Handles a rejection: the endpoint has stated that it did not run the call. */
    void onRejected(Endpoint endpoint, ResponseHead head) {
        attempt = null;
        history.onReached();
        record.addNote("rejected-" + head.status() + ":" + endpoint.id());
        avoidance.onRejected(endpoint, head);
        if (!context.retryBudgets().of(view.service()).tryRetry()) {
            refuse(ResultCode.QUEUE_FULL, BUSY_RETRY_AFTER_MS);
            return;
        }
        retryNotRun();
    }

    private void retryNotRun() {
        if (ended) {
            return;
        }
        if (!history.onNotRun()) {
            refuse(ResultCode.QUEUE_FULL, BUSY_RETRY_AFTER_MS);
            return;
        }
        decide();
    }

    /** Handles an attempt that may have run and ended without a complete response. */
    void onAttemptFailed(Endpoint endpoint, OutboundFailure failure, long sentAtMs) {
        attempt = null;
        history.onRun();
        view.tried().add(endpoint.id());
        if (response.started()) {
            view.onProgress(context.clock().nowMs());
        }
        record.addNote(failure + ":" + endpoint.id());
        if (failure == OutboundFailure.CLOSED || failure == OutboundFailure.BROKEN_OFF) {
            record.onResponseLost();
            context.crashDetector().onCutOff(endpoint, view, sentAtMs);
        }
        if (failure == OutboundFailure.ENDLESS) {
            context.metrics().count("endless_answers");
        }
        if (tryAcquireRetry()) {
            decide();
            return;
        }
        ResultCode code =
                failure == OutboundFailure.TIMED_OUT ? ResultCode.OUTCOME_UNKNOWN : ResultCode.ENDPOINT_FAILED;
        fail(response.started() ? ResultCode.ANSWER_INCOMPLETE : code, 0);
    }

    /** Returns whether the call may run once more, and charges the retry to the budget. */
    boolean tryAcquireRetry() {
        return !ended && history.tryAcquireRetry();
    }

    /** Returns the endpoint at which the call could run now in place of another, without charging the budget. */
    Optional<Endpoint> alternativeTo(Endpoint current) {
        return history.alternativeTo(current);
    }

    /** Runs a safe call again after the endpoint returned a failure, which is kept; takes over its body. */
    void retryAfterFailure(Endpoint endpoint, ResponseHead head, HttpResponse received, ByteBuf body) {
        attempt = null;
        view.tried().add(endpoint.id());
        record.addNote("status-" + head.status() + ":" + endpoint.id());
        if (head.impliesNotRun()) {
            // The call has run, so that its caller must not get this status.
            body.release();
        } else {
            keptResponse.keep(received, body);
        }
        decide();
    }

    /** Counts an attempt that ran until its response. */
    void countRun() {
        history.onRun();
    }

    /** Ends the call after a complete response. */
    void onCompleted(int status) {
        attempt = null;
        if (HttpStatusClass.valueOf(status) == HttpStatusClass.SUCCESS) {
            long nowMs = context.clock().nowMs();
            context.quarantine().onCompleted(view, nowMs);
            context.waitingCalls()
                    .overloadControl()
                    .onCompleted(view, record.firstMs(nowMs), record.totalMs(nowMs), nowMs);
        }
        if (streamBegun) {
            context.resumption().onCompleted(request.id());
        }
        end(ResultCode.OK, status);
    }

    /** Ends a call whose endpoint returned a refusal without stating that it did not run the call. */
    void onAmbiguousRefusal(int status) {
        attempt = null;
        record.addNote("unclear-" + status);
        fail(ResultCode.ENDPOINT_FAILED, 0);
    }

    private void refuse(ResultCode code, long retryAfterMs) {
        if (response.started()) {
            record.addNote(code.name());
            fail(ResultCode.ANSWER_INCOMPLETE, 0);
            return;
        }
        if (keptResponse.present()) {
            fail(code, 0);
            return;
        }
        if (code == ResultCode.DEADLINE_NOT_REACHABLE || code == ResultCode.MODEL_NOT_LOADED) {
            context.waitingCalls().expectedRetries().add(view, context.clock().nowMs() + retryAfterMs);
        }
        recordShortage();
        record.onRetryAfter(retryAfterMs);
        ResultCode reported = history.hasRun() ? ResultCode.ENDPOINT_FAILED : code;
        long statedMs = reported.hasRetryAfter() ? retryAfterMs : 0;
        place.onRefused(statedMs);
        fail(reported, statedMs);
    }

    private void onDeadline() {
        if (ended) {
            return;
        }
        boolean mayHaveRun = mayHaveRun();
        cancelAttempt();
        ResultCode code = mayHaveRun ? ResultCode.DEADLINE_PASSED_RUNNING : ResultCode.DEADLINE_PASSED_WAITING;
        fail(code, mayHaveRun ? 0 : BUSY_RETRY_AFTER_MS);
    }

    /** Ends the call with the kept response of a failed run, or else with an error of the entry. */
    private void fail(ResultCode code, long retryAfterMs) {
        Optional<Integer> keptStatus = keptResponse.sendTo(response);
        if (keptStatus.isPresent()) {
            record.addNote("kept-instead-of-" + code.number());
            end(ResultCode.OK, keptStatus.get());
            return;
        }
        end(code, response.sendError(code, retryAfterMs));
    }

    private void onCallerGone() {
        if (ended) {
            return;
        }
        boolean mayHaveRun = mayHaveRun();
        cancelAttempt();
        record.addNote("caller-left");
        end(mayHaveRun ? ResultCode.OUTCOME_UNKNOWN : ResultCode.CANCELLED_BEFORE_START, 0);
    }

    private boolean mayHaveRun() {
        return history.hasRun() || (attempt != null && attempt.sent());
    }

    private void cancelAttempt() {
        if (attempt != null) {
            if (attempt.sent()) {
                history.onReached();
            }
            attempt.cancel();
            attempt = null;
        }
    }

    private void end(ResultCode code, int status) {
        ended = true;
        if (code.execution() == Execution.NOT_RUN && !history.hasReached()) {
            quotaHold.refund();
        }
        keptResponse.release();
        onEnded.accept(this);
        permitWaiter.leave();
        deadline.cancel();
        context.waitingCalls().remove(this);
        record.write(
                context.log(), context.metrics(), code, status, context.clock().nowMs());
        context.timers().run(place::reconsiderOthers);
    }

    Optional<String> resumeFrom() {
        return response.lastEventId().or(request::lastEventId);
    }
}
