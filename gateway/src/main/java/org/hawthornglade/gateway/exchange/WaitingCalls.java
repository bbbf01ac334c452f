package org.hawthornglade.gateway.exchange;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.TreeSet;

/** The calls that wait at this entry, the most urgent first. */
public final class WaitingCalls {
    private static final Comparator<Exchange> MOST_URGENT_FIRST = Comparator.comparingInt(
                    (Exchange exchange) -> exchange.view().route().priority())
            .thenComparingLong(exchange -> exchange.view().arrivedAtMs())
            .thenComparingLong(Exchange::number);

    private final TreeSet<Exchange> calls = new TreeSet<>(MOST_URGENT_FIRST);
    private final ExpectedRetries expectedRetries = new ExpectedRetries();
    private boolean refusing;
    private Runnable demandListener = () -> {};

    /** Sets what happens when a call begins to wait. */
    public void onDemandChanged(Runnable action) {
        demandListener = action;
    }

    void addNew(Exchange exchange) {
        calls.add(exchange);
        demandListener.run();
    }

    /** Has the leader told soon what is asked for. */
    void notifyDemandChanged() {
        demandListener.run();
    }

    void add(Exchange exchange) {
        calls.add(exchange);
    }

    void remove(Exchange exchange) {
        calls.remove(exchange);
    }

    /** Decides anew for every call, after something has changed. */
    public void reconsider() {
        for (Exchange exchange : new ArrayList<>(calls)) {
            exchange.reconsider();
        }
    }

    /** Refuses every call that waits, and from now on every call that comes, as late in a stop. */
    public void refuseAll() {
        refusing = true;
        new ArrayList<>(calls).forEach(Exchange::refuseAtStop);
    }

    boolean refusing() {
        return refusing;
    }

    /** Returns the calls that were told when to come back. */
    public ExpectedRetries expectedRetries() {
        return expectedRetries;
    }

    /** Returns the calls that wait, in their order. */
    public Collection<Exchange> all() {
        return Collections.unmodifiableSortedSet(calls);
    }

    /** Returns whether a call waits. */
    public boolean isEmpty() {
        return calls.isEmpty();
    }
}
