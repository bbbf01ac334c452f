package org.hawthornglade.core.plan;

import java.util.List;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.OrganisationId;

/**
 * Whether memory, accelerators and budgets suffice for the world as it will be.
 *
 * @param instances each engine instance with what it will be asked to hold
 * @param budgets each organisation with what its models take
 */
public record Fit(List<InstanceFit> instances, List<BudgetFit> budgets) {
    /** Copies the lists. */
    public Fit {
        instances = List.copyOf(instances);
        budgets = List.copyOf(budgets);
    }

    /**
     * The fit of one instance.
     *
     * @param instance the instance
     * @param memoryMb its accelerator memory, in MiB
     * @param assignedMb what its replicas take were all loaded at once, in MiB; above {@code memoryMb} they take turns
     * @param accelerators how many it has
     * @param assignedAccelerators what its replicas take were all loaded at once
     */
    public record InstanceFit(
            InstanceId instance, int memoryMb, long assignedMb, int accelerators, long assignedAccelerators) {}

    /**
     * The fit of one budget.
     *
     * @param organisation the organisation
     * @param maxAccelerators its budget
     * @param acceleratorsAtMost what its models take with all replicas loaded
     */
    public record BudgetFit(OrganisationId organisation, int maxAccelerators, long acceleratorsAtMost) {}
}
