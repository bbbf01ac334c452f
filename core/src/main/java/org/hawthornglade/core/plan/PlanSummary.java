package org.hawthornglade.core.plan;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;
import org.hawthornglade.core.id.OfficeId;
import org.hawthornglade.core.id.PlanId;

/**
 * What others need to know of a plan that is not confirmed.
 *
 * @param id the plan
 * @param office who made it
 * @param reason why, in its maker's words
 * @param baseVersion the configuration version it was made on
 * @param madeAtMs when, in milliseconds since the Unix epoch
 * @param subjects the entries that it changes
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record PlanSummary(
        PlanId id, OfficeId office, String reason, long baseVersion, long madeAtMs, List<String> subjects) {
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
                plan.changes().stream().map(Change::subject).toList());
    }
}
