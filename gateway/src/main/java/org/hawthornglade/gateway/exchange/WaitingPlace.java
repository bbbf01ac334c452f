package org.hawthornglade.gateway.exchange;

import java.util.Optional;
import org.hawthornglade.core.dispatch.CallView;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.overload.RetryNotice;
import org.hawthornglade.core.overload.Urgency;

/**
 * The place of a call among those that wait at this entry.
 *
 * <p>Also decides which other calls are to be decided again when this one is sent or ends.
 */
final class WaitingPlace {
    private final ExchangeContext context;
    private final WaitingCalls waitingCalls;
    private final Exchange exchange;
    private final CallView view;
    /** When the call was passed on: a pipelined one does not count the time behind others of its connection. */
    private final long turnAtMs;

    private Optional<Endpoint> lastEndpoint = Optional.empty();
    private long yieldsUntilMs;
    private boolean hasWaited;

    WaitingPlace(ExchangeContext context, Exchange exchange) {
        this.context = context;
        this.waitingCalls = context.waitingCalls();
        this.exchange = exchange;
        this.view = exchange.view();
        this.turnAtMs = exchange.call().pipelined() ? context.clock().nowMs() : view.arrivedAtMs();
    }

    long turnAtMs() {
        return turnAtMs;
    }

    /** Returns whether the call has waited for an endpoint. */
    boolean hasWaited() {
        return hasWaited;
    }

    /** Returns whether the call waits in the order of its urgency, and its start is predicted. */
    private boolean ordered() {
        return waitingCalls.overloadControl().appliesTo(view);
    }

    /** Returns by when the call must start; empty if it waits by priority and arrival. */
    Optional<Urgency> urgency() {
        return ordered()
                ? Optional.of(waitingCalls.overloadControl().urgency(view, yieldsUntilMs, exchange.number()))
                : Optional.empty();
    }

    /** Records the arrival of the call, and whether its caller was to come back later. */
    void onArrived() {
        if (!ordered()) {
            return;
        }
        waitingCalls.onArrived(view);
        yieldsUntilMs = exchange.call()
                .response()
                .retryNotice()
                .map(notice -> notice.yieldsUntilMs(view.service(), OverloadControl.model(view)))
                .orElse(0L);
    }

    /** Returns whether the call is decided after others that wait, since its caller came back too early. */
    boolean yields() {
        if (yieldsUntilMs <= context.clock().nowMs()) {
            return false;
        }
        context.metrics().count("calls_before_retry_after");
        return waitingCalls.anyWaitingFor(view);
    }

    /**
     * Lets the call be decided in its turn among the waiting ones.
     *
     * <p>The call before it on its connection has just freed a slot. The connection would keep that slot for as long as
     * it has requests, while waiting calls are offered none until their deadline.
     */
    void takeTurn() {
        waitingCalls.add(exchange, urgency());
        context.timers().run(waitingCalls::reconsider);
    }

    /** Adds the call to those that wait. */
    void enqueue() {
        if (hasWaited) {
            waitingCalls.add(exchange, urgency());
            return;
        }
        hasWaited = true;
        waitingCalls.addNew(exchange, urgency());
    }

    /** Decides again, later, on the calls for the same service and model. */
    void reconsiderQueue() {
        context.timers().run(() -> waitingCalls.reconsiderBehind(view));
    }

    /** Records that the call is sent to an endpoint. */
    void onSent(Endpoint endpoint) {
        Optional<Endpoint> previous = lastEndpoint;
        lastEndpoint = Optional.of(endpoint);
        if (!ordered()) {
            return;
        }
        if (previous.isEmpty()) {
            waitingCalls.onStarted(view);
        } else if (!previous.get().equals(endpoint)) {
            context.timers().run(() -> waitingCalls.reconsiderAt(previous.get()));
        }
    }

    /** Records, for the next calls on the connection, when the caller was told to come back; 0 if it was not. */
    void onRefused(long retryAfterMs) {
        if (retryAfterMs > 0 && ordered()) {
            long untilMs = context.clock().nowMs() + retryAfterMs;
            RetryNotice notice = new RetryNotice(view.service(), OverloadControl.model(view), untilMs);
            exchange.call().response().onRetryAfter(notice);
        }
    }

    /** Decides again on the calls that the end of this one concerns. */
    void reconsiderOthers() {
        if (lastEndpoint.isPresent()) {
            waitingCalls.reconsiderAt(lastEndpoint.get());
        } else if (hasWaited) {
            waitingCalls.reconsiderBehind(view);
        } else {
            // A call that was refused on its arrival has changed nothing for calls with an urgency.
            waitingCalls.reconsiderWithoutUrgency();
        }
    }
}
