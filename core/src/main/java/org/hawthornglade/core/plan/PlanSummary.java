package org.hawthornglade.core.plan;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;
import org.hawthornglade.core.id.OfficeId;
import org.hawthornglade.core.id.PlanId;

/**
 * The summary of an unconfirmed plan, for comparison with other plans.
 *
 * @param id the id of the plan
 * @param office the office that made it
 * @param reason the reason stated by that office
 * @param baseVersion the configuration version that the plan is based on
 * @param madeAtMs when it was made, in milliseconds since the Unix epoch
 * @param subjects the entries that it changes
 * @param replacedBy the new plan that replaced this one when it was stale; null if there is none
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record PlanSummary(
        PlanId id,
        OfficeId office,
        String reason,
        long baseVersion,
        long madeAtMs,
        List<String> subjects,
        PlanId replacedBy) {
    /** Copies the list. */
    public PlanSummary {
        subjects = List.copyOf(subjects);
    }

    /** Returns the summary of a plan. */
    public static PlanSummary of(Plan plan) {
        return new PlanSummary(
                plan.id(),
                plan.office(),
                plan.intent().reason(),
                plan.baseVersion(),
                plan.madeAtMs(),
                plan.changes().stream().map(Change::subject).toList(),
                null);
    }

    /** Returns this summary marked as replaced by a new plan. */
    public PlanSummary replacedBy(PlanId replacement) {
        return new PlanSummary(id, office, reason, baseVersion, madeAtMs, subjects, replacement);
    }
}
