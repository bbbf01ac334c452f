package org.hawthornglade.core.plan;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.id.OfficeId;
import org.hawthornglade.core.id.PlanId;

/**
 * Shows what confirming an intent would change and the state that would result.
 *
 * @param id the id by which the plan is confirmed
 * @param office the office that made the plan
 * @param baseVersion the configuration version that the plan is based on; the plan can be confirmed only while that
 *     version is in force
 * @param madeAtMs when the plan was made, in milliseconds since the Unix epoch
 * @param intent the requested changes
 * @param result the whole resulting configuration
 * @param changes the differences from the base version
 * @param replicas the replicas as they will be placed
 * @param unloads what will be unloaded, with the organisations affected
 * @param fit whether memory, accelerators and budgets suffice
 * @param underWay the work of earlier confirms that is still pending
 * @param otherPlans the open plans of all offices
 * @param warnings warnings that an operator should read before confirming
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record Plan(
        PlanId id,
        OfficeId office,
        long baseVersion,
        long madeAtMs,
        Intent intent,
        Configuration result,
        List<Change> changes,
        List<PlannedReplica> replicas,
        List<Unload> unloads,
        Fit fit,
        PendingWork underWay,
        List<OpenPlan> otherPlans,
        List<String> warnings) {
    /** Copies the lists. */
    public Plan {
        changes = List.copyOf(changes);
        replicas = List.copyOf(replicas);
        unloads = List.copyOf(unloads);
        otherPlans = List.copyOf(otherPlans);
        warnings = List.copyOf(warnings);
    }
}
