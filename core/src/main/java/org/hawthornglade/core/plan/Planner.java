package org.hawthornglade.core.plan;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.hawthornglade.core.assignment.Assignment;
import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.ConfigurationValidator;
import org.hawthornglade.core.config.Fault;
import org.hawthornglade.core.id.OfficeId;
import org.hawthornglade.core.id.PlanId;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;

/** Makes plans, which show what confirming an intent would change. */
public final class Planner {
    private Planner() {}

    /**
     * Makes a plan.
     *
     * @param id the id of the new plan
     * @param office the office that requests the plan
     * @param intent the requested changes
     * @param context the current state
     * @param nowMs the current time, in milliseconds since the Unix epoch
     * @return the plan, or left with INTENT_INVALID, or INTENT_DOES_NOT_FIT if only budgets are exceeded, and all
     *     faults
     */
    public static Either<PlanRefusal, Plan> plan(
            PlanId id, OfficeId office, Intent intent, PlanningContext context, long nowMs) {
        IntentApplier applier = new IntentApplier(intent, context.configuration());
        Configuration result = applier.apply(office, id);
        List<Fault> faults = new ArrayList<>(applier.faults());
        faults.addAll(ConfigurationValidator.validate(result));
        if (!faults.isEmpty()) {
            return Either.left(refusal(faults));
        }
        return Either.right(new PlanBuilder(id, office, intent, context, result).build(nowMs));
    }

    private static PlanRefusal refusal(List<Fault> faults) {
        boolean budgetsOnly = faults.stream().allMatch(fault -> fault.kind() == Fault.Kind.OVER_BUDGET);
        ResultCode code = budgetsOnly ? ResultCode.INTENT_DOES_NOT_FIT : ResultCode.INTENT_INVALID;
        String message =
                faults.size() == 1 ? faults.get(0).toString() : faults.size() + " faults, the first: " + faults.get(0);
        return new PlanRefusal(Failure.of(code, message), faults);
    }

    /** Returns the work of earlier confirms that is still pending. */
    public static PendingWork pendingWork(PlanningContext context) {
        List<Assignment> releasing = context.rows().stream()
                .map(AssignmentRow::assignment)
                .filter(assignment -> assignment.state() == AssignmentState.RELEASING)
                .toList();
        List<NodeVersion> behind = context.nodes().stream()
                .filter(node -> node.version() < context.configuration().version())
                .toList();
        return new PendingWork(releasing, behind);
    }

    /** Returns the other open plans, newest first, each with the entries that both plans change. */
    static List<OpenPlan> otherPlans(PlanId id, List<Change> changes, PlanningContext context) {
        Set<String> subjects = changes.stream().map(Change::subject).collect(Collectors.toSet());
        return context.openPlans().stream()
                .filter(plan -> !plan.id().equals(id))
                .sorted((a, b) -> Long.compare(b.madeAtMs(), a.madeAtMs()))
                .map(plan -> new OpenPlan(
                        plan.id(),
                        plan.office(),
                        plan.reason(),
                        plan.madeAtMs(),
                        plan.baseVersion() != context.configuration().version(),
                        plan.subjects().stream().filter(subjects::contains).toList()))
                .toList();
    }
}
