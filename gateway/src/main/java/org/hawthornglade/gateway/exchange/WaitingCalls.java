package org.hawthornglade.gateway.exchange;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.TreeSet;
import org.hawthornglade.core.dispatch.CallView;

/** The calls that wait at this entry, in the order of their urgency. */
public final class WaitingCalls {
    private static final Comparator<Exchange> MOST_URGENT_FIRST = Comparator.comparingInt(
                    (Exchange exchange) -> exchange.view().priority())
            .thenComparingLong(Exchange::turnAtMs)
            .thenComparingLong(Exchange::number);

    private final TreeSet<Exchange> calls = new TreeSet<>(MOST_URGENT_FIRST);
    private final ExpectedRetries expectedRetries = new ExpectedRetries();
    private OverloadControl overloadControl = new OverloadControl(false, () -> 1);
    private boolean refusing;
    private Runnable demandListener = () -> {};

    /** Sets the listener that is called when a call begins to wait, or when the permit requests change. */
    public void onDemandChanged(Runnable action) {
        demandListener = action;
    }

    /** Sets how the starts of waiting calls are predicted; must be called before the first call. */
    public void setOverloadControl(OverloadControl control) {
        overloadControl = control;
    }

    OverloadControl overloadControl() {
        return overloadControl;
    }

    /** Returns how many waiting calls for the same service and model are decided before a call that does not wait. */
    int ahead(CallView call) {
        int ahead = 0;
        for (Exchange exchange : calls) {
            CallView other = exchange.view();
            if (other.priority() > call.priority()
                    || (other.priority() == call.priority() && exchange.turnAtMs() > call.arrivedAtMs())) {
                break;
            }
            boolean sameQueue = other.service().equals(call.service())
                    && OverloadControl.model(other).equals(OverloadControl.model(call));
            ahead += sameQueue ? 1 : 0;
        }
        return ahead;
    }

    void addNew(Exchange exchange) {
        calls.add(exchange);
        demandListener.run();
    }

    /** Notifies the listener, which reports the changed permit requests to the leader. */
    void notifyDemandChanged() {
        demandListener.run();
    }

    void add(Exchange exchange) {
        calls.add(exchange);
    }

    void remove(Exchange exchange) {
        calls.remove(exchange);
    }

    /** Decides again on every call, after a change that may affect them. */
    public void reconsider() {
        for (Exchange exchange : new ArrayList<>(calls)) {
            exchange.reconsider();
        }
    }

    /** Refuses all waiting calls and, from now on, all new calls, as late in a stop. */
    public void refuseAll() {
        refusing = true;
        new ArrayList<>(calls).forEach(Exchange::refuseAtStop);
    }

    boolean refusing() {
        return refusing;
    }

    /** Returns the calls that were answered with Retry-After. */
    public ExpectedRetries expectedRetries() {
        return expectedRetries;
    }

    /** Returns the waiting calls, in their order. */
    public Collection<Exchange> all() {
        return Collections.unmodifiableSortedSet(calls);
    }

    /** Returns whether no call waits. */
    public boolean isEmpty() {
        return calls.isEmpty();
    }
}
