package org.hawthornglade.core.plan;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.id.OfficeId;
import org.hawthornglade.core.id.PlanId;

/**
 * What confirming an intent would change, and the world as it would then be.
 *
 * @param id what to confirm
 * @param office who made it
 * @param baseVersion the configuration version it was made on; it can be confirmed only while that one is in force
 * @param madeAtMs when, in milliseconds since the Unix epoch
 * @param intent what was stated
 * @param result the whole resulting configuration
 * @param changes the differences from the base
 * @param replicas the replicas as they will be placed
 * @param unloads what will be unloaded, and from under whom
 * @param fit whether memory and accelerators suffice
 * @param underWay what earlier confirms still have under way
 * @param otherPlans the open plans of all offices
 * @param warnings what an operator should read before confirming
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
