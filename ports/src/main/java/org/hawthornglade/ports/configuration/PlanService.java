package org.hawthornglade.ports.configuration;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.id.OfficeId;
import org.hawthornglade.core.id.PlanId;
import org.hawthornglade.core.plan.Intent;
import org.hawthornglade.core.plan.Plan;
import org.hawthornglade.core.plan.PlanRefusal;
import org.hawthornglade.core.plan.PlanSummary;
import org.hawthornglade.core.plan.Planner;
import org.hawthornglade.core.plan.PlanningContext;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.time.Clock;

/** Creates, stores and confirms plans. */
public final class PlanService {
    private final ConfigurationStore configurations;
    private final PlanStore plans;
    private final AssignmentStore assignments;
    private final Fleet fleet;
    private final Supplier<PlanId> newId;
    private final Clock clock;

    /**
     * Creates a service.
     *
     * @param fleet provides the instances and the configuration version of each process
     * @param newId generates plan ids that are unique across entries
     */
    public PlanService(
            ConfigurationStore configurations,
            PlanStore plans,
            AssignmentStore assignments,
            Fleet fleet,
            Supplier<PlanId> newId,
            Clock clock) {
        this.configurations = configurations;
        this.plans = plans;
        this.assignments = assignments;
        this.fleet = fleet;
        this.newId = newId;
        this.clock = clock;
    }

    /** Makes a plan for an intent and stores it. */
    public Either<PlanRefusal, Plan> plan(OfficeId office, Intent intent) {
        return plan(office, intent, Optional.empty());
    }

    private Either<PlanRefusal, Plan> plan(OfficeId office, Intent intent, Optional<Plan> replaced) {
        Either<Failure, List<PlanSummary>> summaries = plans.summaries();
        if (summaries.isLeft()) {
            return Either.left(PlanRefusal.of(summaries.getLeft()));
        }
        long nowMs = clock.nowMs();
        List<PlanSummary> expired = summaries.get().stream()
                .filter(summary -> nowMs - summary.madeAtMs() > PlanStore.RETENTION_MS)
                .toList();
        List<PlanSummary> open = summaries.get().stream()
                .filter(summary -> summary.replacedBy() == null && !expired.contains(summary))
                .filter(summary -> replaced.isEmpty()
                        || !summary.id().equals(replaced.get().id()))
                .toList();
        return planningContext(open)
                .mapLeft(PlanRefusal::of)
                .flatMap(context -> Planner.plan(newId.get(), office, intent, context, nowMs))
                .flatMap(plan -> plans.save(plan, expired, replaced).mapLeft(PlanRefusal::of));
    }

    /** Confirms a plan of the same office; the refusal of a stale plan carries a fresh plan for the same intent. */
    public Either<ConfirmRefusal, Confirmation> confirm(OfficeId office, PlanId id) {
        Either<Failure, Plan> plan = plans.find(id);
        if (plan.isLeft()) {
            return Either.left(ConfirmRefusal.of(plan.getLeft()));
        }
        if (!plan.get().office().equals(office)) {
            return Either.left(ConfirmRefusal.of(Failure.of(
                    ResultCode.UNKNOWN_PLAN,
                    "plan " + id + " was made by office " + plan.get().office())));
        }
        Either<Failure, Confirmation> confirmation = configurations.confirm(plan.get(), clock.nowMs());
        if (confirmation.isRight()) {
            return Either.right(confirmation.get());
        }
        Failure failure = confirmation.getLeft();
        if (failure.code() != ResultCode.STALE_PLAN) {
            return Either.left(ConfirmRefusal.of(failure));
        }
        Either<PlanRefusal, Plan> fresh = plan(office, plan.get().intent(), Optional.of(plan.get()));
        return Either.left(new ConfirmRefusal(
                failure,
                fresh.isRight() ? Optional.of(fresh.get()) : Optional.empty(),
                fresh.isRight() ? Optional.empty() : Optional.of(fresh.getLeft())));
    }

    private Either<Failure, PlanningContext> planningContext(List<PlanSummary> open) {
        Either<Failure, Configuration> configuration = configurations.newest();
        return configuration.flatMap(newest -> assignments
                .rows()
                .map(rows -> new PlanningContext(newest, fleet.instances(), rows, fleet.nodes(), open)));
    }
}
