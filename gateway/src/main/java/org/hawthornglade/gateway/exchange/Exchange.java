package org.hawthornglade.gateway.exchange;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.dispatch.Decision;
import org.hawthornglade.core.dispatch.PermitWaiter;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.Permits;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.gateway.http.IncomingCall;
import org.hawthornglade.gateway.http.OutboundConnection;
import org.hawthornglade.gateway.http.OutboundFailure;
import org.hawthornglade.gateway.loop.Timers;
import org.hawthornglade.gateway.port.ResponseHead;
import org.hawthornglade.gateway.port.CallRequest;

/**
 * One call from its arrival to its final answer.
 *
 * <p>At most one attempt is open at a time. A call that may run once is sent again only after an endpoint has stated
 * that it did not run it, or when no connection could be made.
 */
public final class Exchange {
    /** How often a call may fail to be taken by an endpoint before it is refused. */
    private static final int MAX_REJECTIONS = 6;
    /** How long an endpoint that was too busy, or is changing its models, is left alone for that model. */
    private static final long REJECTED_PAUSE_MS = 60;
    /** The same for an endpoint that does not have the model. */
    private static final long MISSING_MODEL_PAUSE_MS = 300;
    /** When to come back after repeated attempts ran out. */
    private static final long BUSY_RETRY_AFTER_MS = 500;

    private final ExchangeContext context;
    private final long number;
    private final IncomingCall call;
    private final CallRequest request;
    private final CallView view;
    private final ResponseWriter response;
    private final CallRecord record;
    private final PermitWaiter permitQueue = new PermitWaiter();
    private final Set<OutboundConnection> usedConnections = new HashSet<>();
    private Timers.Timeout deadline;
    private Attempt attempt;
    private int runs;
    private int rejections;
    private boolean hasWaited;
    private boolean ended;

    Exchange(
            ExchangeContext context,
            long number,
            IncomingCall call,
            CallRequest request,
            CallView view,
            long configurationVersion) {
        this.context = context;
        this.number = number;
        this.call = call;
        this.request = request;
        this.view = view;
        this.response = new ResponseWriter(context.protocol(), call.response(), request);
        this.record = new CallRecord(request.id(), view, configurationVersion);
    }

    public CallView view() {
        return view;
    }

    long number() {
        return number;
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
        decide();
    }

    /** Decides anew for a call that waits. */
    void reconsider() {
        if (ended || attempt != null) {
            return;
        }
        context.waitingCalls().remove(this);
        decide();
    }

    private void decide() {
        permitQueue.leave();
        Decision decision = context.dispatcher().decide(view, context.clock().nowMs());
        if (decision instanceof Decision.Send sending) {
            send(sending);
        } else if (decision instanceof Decision.AwaitPermit asking) {
            requestPermit(asking);
        } else if (decision instanceof Decision.Wait waits) {
            record.onWait(waits);
            enqueue();
        } else if (decision instanceof Decision.Refuse refusal) {
            refuse(refusal.code(), refusal.retryAfterMs());
        }
    }

    private void requestPermit(Decision.AwaitPermit asking) {
        record.onWait(new Decision.Wait("limit", asking.expectedAtMs()));
        if (permitQueue.join(asking, view, context.clock().nowMs())) {
            context.waitingCalls().notifyDemandChanged();
        }
        if (asking.briefly()) {
            context.timers().after(Permits.BRIEF_WAIT_MS + 1, this::reconsider);
        }
        enqueue();
    }

    /** Refuses a call that waits while this entry stops; another entry may serve it. */
    void refuseAtStop() {
        if (!ended && attempt == null) {
            refuse(ResultCode.STOPPING, CallReceiver.STOPPING_RETRY_AFTER_MS);
        }
    }

    private void enqueue() {
        if (context.waitingCalls().refusing()) {
            refuseAtStop();
            return;
        }
        if (hasWaited) {
            context.waitingCalls().add(this);
            return;
        }
        hasWaited = true;
        context.waitingCalls().addNew(this);
    }

    private void send(Decision.Send decision) {
        record.onSent(decision, context.clock().nowMs());
        attempt = new Attempt(context, this, decision.endpoint(), decision.cachedTokens());
        attempt.start();
    }

    /** Takes note of the connection that carries an attempt. */
    void addConnection(OutboundConnection connection) {
        usedConnections.add(connection);
    }

    /** Returns whether a connection has carried the call; a late answer there could not be told from a new one. */
    boolean hasUsed(OutboundConnection connection) {
        return usedConnections.contains(connection);
    }

    /** Takes note that no connection could be made; nothing was sent. */
    void onConnectFailed(Endpoint endpoint) {
        attempt = null;
        view.tried().add(endpoint.id());
        record.addNote("unreachable:" + endpoint.id());
        retryNotRun();
    }

    /** Takes note that an endpoint wants no calls any more; nothing was sent. */
    void onEndpointUnavailable(Endpoint endpoint) {
        attempt = null;
        record.addNote("shut:" + endpoint.id());
        retryNotRun();
    }

    /** Takes note that an endpoint stated that it did not run the call. */
    void onRejected(Endpoint endpoint, ResponseHead head) {
        attempt = null;
        record.addNote("rejected-" + head.status() + ":" + endpoint.id());
        long nowMs = context.clock().nowMs();
        boolean misdirected =
                head.instance().isPresent() && !head.instance().get().equals(endpoint.id());
        if (misdirected) {
            context.fleet().onMisdirected(endpoint.id());
        } else if (view.demand().isPresent()) {
            ModelName model = view.demand().get().model();
            endpoint.excludeModel(model, nowMs + (head.misdirected() ? MISSING_MODEL_PAUSE_MS : REJECTED_PAUSE_MS));
        } else {
            view.tried().add(endpoint.id());
        }
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
        rejections++;
        if (rejections >= MAX_REJECTIONS) {
            refuse(ResultCode.QUEUE_FULL, BUSY_RETRY_AFTER_MS);
            return;
        }
        decide();
    }

    /** Takes note that an attempt that may have run ended without a whole answer. */
    void onAttemptFailed(Endpoint endpoint, OutboundFailure failure) {
        attempt = null;
        runs++;
        view.tried().add(endpoint.id());
        if (response.started()) {
            view.onProgress(context.clock().nowMs());
        }
        record.addNote(failure + ":" + endpoint.id());
        if (failure == OutboundFailure.ENDLESS) {
            context.metrics().count("endless_answers");
        }
        if (tryAcquireRetry()) {
            decide();
            return;
        }
        if (response.started()) {
            response.abort();
            end(ResultCode.ANSWER_INCOMPLETE, 0);
            return;
        }
        ResultCode code =
                failure == OutboundFailure.TIMED_OUT ? ResultCode.OUTCOME_UNKNOWN : ResultCode.ENDPOINT_FAILED;
        end(code, response.sendError(code, 0));
    }

    /** Returns whether the call may run once more, and takes that out of the budget. */
    boolean tryAcquireRetry() {
        return !ended
                && view.route().repeatable()
                && runs < view.route().maxAttempts()
                && context.retryBudgets().of(view.service()).tryRetry();
    }

    /** Returns whether the call could run at another endpoint, without taking that out of the budget. */
    boolean canRetryElsewhere() {
        return view.route().repeatable()
                && runs + 1 < view.route().maxAttempts()
                && context.retryBudgets().of(view.service()).allowsRetry();
    }

    /** Runs a safe call again after the endpoint answered with a failure of its own. */
    void retryAfterFailure(Endpoint endpoint, int status) {
        attempt = null;
        view.tried().add(endpoint.id());
        record.addNote("status-" + status + ":" + endpoint.id());
        decide();
    }

    /** Counts an attempt that ran to an answer. */
    void countRun() {
        runs++;
    }

    /** Takes note that the answer is complete. */
    void onCompleted(int status) {
        attempt = null;
        end(ResultCode.OK, status);
    }

    /** Ends a call whose endpoint answered with a refusal but did not state that it did not run it. */
    void onAmbiguousRefusal(int status) {
        attempt = null;
        record.addNote("unclear-" + status);
        end(ResultCode.ENDPOINT_FAILED, response.sendError(ResultCode.ENDPOINT_FAILED, 0));
    }

    private void refuse(ResultCode code, long retryAfterMs) {
        if (response.started()) {
            response.abort();
            end(ResultCode.ANSWER_INCOMPLETE, 0);
            return;
        }
        if (code == ResultCode.DEADLINE_NOT_REACHABLE || code == ResultCode.MODEL_NOT_LOADED) {
            context.waitingCalls().expectedRetries().add(view, context.clock().nowMs() + retryAfterMs);
        }
        record.onRetryAfter(retryAfterMs);
        ResultCode honest = runs > 0 ? ResultCode.ENDPOINT_FAILED : code;
        end(honest, response.sendError(honest, honest.hasRetryAfter() ? retryAfterMs : 0));
    }

    private void onDeadline() {
        if (ended) {
            return;
        }
        boolean mayHaveRun = runs > 0 || (attempt != null && attempt.sent());
        cancelAttempt();
        if (response.started()) {
            response.abort();
            end(ResultCode.DEADLINE_PASSED_RUNNING, 0);
            return;
        }
        ResultCode code = mayHaveRun ? ResultCode.DEADLINE_PASSED_RUNNING : ResultCode.DEADLINE_PASSED_WAITING;
        end(code, response.sendError(code, mayHaveRun ? 0 : BUSY_RETRY_AFTER_MS));
    }

    private void onCallerGone() {
        if (ended) {
            return;
        }
        boolean mayHaveRun = runs > 0 || (attempt != null && attempt.sent());
        cancelAttempt();
        record.addNote("caller-left");
        end(mayHaveRun ? ResultCode.OUTCOME_UNKNOWN : ResultCode.CANCELLED_BEFORE_START, 0);
    }

    private void cancelAttempt() {
        if (attempt != null) {
            attempt.cancel();
            attempt = null;
        }
    }

    private void end(ResultCode code, int status) {
        ended = true;
        permitQueue.leave();
        deadline.cancel();
        context.waitingCalls().remove(this);
        record.write(
                context.log(), context.metrics(), code, status, context.clock().nowMs());
        context.timers().run(context.waitingCalls()::reconsider);
    }

    Optional<String> resumeFrom() {
        return response.lastEventId().or(request::lastEventId);
    }
}
