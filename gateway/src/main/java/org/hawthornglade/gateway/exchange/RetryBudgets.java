package org.hawthornglade.gateway.exchange;

import java.util.HashMap;
import java.util.Map;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.retry.RetryBudget;

/** The budget of repeated attempts for each service, this entry's part of what all entries share. */
public final class RetryBudgets {
    private double share;
    private double burst;
    private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();

    /**
     * Creates full budgets.
     *
     * @param share repeated attempts for each request; from 0 to 1
     * @param burst how many may follow each other at once; at least 1
     */
    public RetryBudgets(double share, double burst) {
        this.share = share;
        this.burst = burst;
    }

    /** Changes the limits; what is left of each budget stays. */
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
