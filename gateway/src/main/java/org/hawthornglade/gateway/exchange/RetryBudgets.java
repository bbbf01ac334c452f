package org.hawthornglade.gateway.exchange;

import java.util.HashMap;
import java.util.Map;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.retry.RetryBudget;

/** Holds the retry budget of each service: this entry's part of the budget that all entries share. */
public final class RetryBudgets {
    private double share;
    private double burst;
    private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();

    /**
     * Creates full budgets.
     *
     * @param share retries per request; from 0 to 1
     * @param burst how many retries may follow each other at once; at least 1
     */
    public RetryBudgets(double share, double burst) {
        this.share = share;
        this.burst = burst;
    }

    /** Changes the limits; the remainder of each budget stays. */
    public void updateLimits(double newShare, double newBurst) {
        share = newShare;
        burst = newBurst;
        budgets.values().forEach(budget -> budget.setLimits(newShare, newBurst));
    }

    /** Returns the budget of a service. */
    public RetryBudget of(ServiceName service) {
        return budgets.computeIfAbsent(service, name -> new RetryBudget(share, burst));
    }
}
