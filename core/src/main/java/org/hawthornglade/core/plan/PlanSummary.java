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
 * @param replacedBy the fresh plan that took its place when it was stale; null if there is none
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

    /** Returns this summary once a fresh plan has taken its place. */
    public PlanSummary replacedBy(PlanId fresh) {
        return new PlanSummary(id, office, reason, baseVersion, madeAtMs, subjects, fresh);
    }
}
