package org.hawthornglade.core.plan;

import java.util.List;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.OrganisationId;

/**
 * Tells whether memory, accelerators and budgets suffice once a plan has been carried out.
 *
 * @param instances the engine instances with the resources that their assigned replicas take
 * @param budgets the organisations with the accelerators that their models take
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
     * @param memoryMb the accelerator memory of the instance, in MiB
     * @param assignedMb the memory that its replicas would take if all were loaded at once, in MiB; if this exceeds
     *     {@code memoryMb}, they are loaded in turns
     * @param accelerators the number of accelerators of the instance
     * @param assignedAccelerators the accelerators that its replicas would take if all were loaded at once
     */
    public record InstanceFit(
            InstanceId instance, int memoryMb, long assignedMb, int accelerators, long assignedAccelerators) {}

    /**
     * The fit of one budget.
     *
     * @param organisation the organisation
     * @param maxAccelerators the accelerator budget of the organisation
     * @param acceleratorsAtMost the accelerators that its models take with all replicas loaded
     */
    public record BudgetFit(OrganisationId organisation, int maxAccelerators, long acceleratorsAtMost) {}
}
