package org.hawthornglade.core.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.hawthornglade.core.assignment.Assignment;
import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.config.AdapterSpec;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.ConfigurationValidator;
import org.hawthornglade.core.config.ModelSpec;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.OfficeId;
import org.hawthornglade.core.id.PlanId;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.placement.Availability;
import org.hawthornglade.core.placement.Footprint;
import org.hawthornglade.core.placement.PlacementInstance;

/** Builds one plan from an intent and the current state. */
final class PlanBuilder {
    private final PlanId id;
    private final OfficeId office;
    private final Intent intent;
    private final PlanningContext context;
    private final Configuration base;
    private final Configuration result;
    private final PlacementForecast forecast;

    PlanBuilder(PlanId id, OfficeId office, Intent intent, PlanningContext context, Configuration result) {
        this.id = id;
        this.office = office;
        this.intent = intent;
        this.context = context;
        this.base = context.configuration();
        this.result = result;
        this.forecast = PlacementForecast.of(result, context.instances(), context.rows());
    }

    Plan build(long nowMs) {
        List<Change> changes = ConfigurationDiff.between(base, result);
        List<Unload> unloads = unloads();
        Fit fit = fit();
        PendingWork pending = Planner.pendingWork(context);
        List<OpenPlan> others = Planner.otherPlans(id, changes, context);
        List<String> warnings = warnings(changes, fit, pending, others);
        return new Plan(
                id,
                office,
                base.version(),
                nowMs,
                intent,
                result,
                changes,
                replicas(),
                unloads,
                fit,
                pending,
                others,
                warnings);
    }

    private List<PlannedReplica> replicas() {
        Map<String, InstanceId> current = new HashMap<>();
        context.rows()
                .forEach(row ->
                        current.put(row.assignment().key(), row.assignment().instance()));
        List<PlannedReplica> replicas = new ArrayList<>();
        for (Assignment assignment : forecast.assignments()) {
            boolean isNew = !assignment.instance().equals(current.get(assignment.key()));
            replicas.add(new PlannedReplica(assignment.model(), assignment.ordinal(), assignment.instance(), isNew));
        }
        forecast.unplaced()
                .forEach(missing -> replicas.add(new PlannedReplica(missing.model(), missing.ordinal(), null, true)));
        return replicas;
    }

    private List<Unload> unloads() {
        Set<String> kept = forecast.assignments().stream()
                .map(assignment -> placementKey(assignment.model(), assignment.instance()))
                .collect(Collectors.toSet());
        List<Unload> unloads = new ArrayList<>();
        for (AssignmentRow row : context.rows()) {
            Assignment assignment = row.assignment();
            if (assignment.state() == AssignmentState.RELEASED) {
                continue;
            }
            if (!kept.contains(placementKey(assignment.model(), assignment.instance()))) {
                unloads.add(unload(assignment, unloadReason(assignment)));
            } else if (isVersionChanged(assignment.model())) {
                unloads.add(unload(assignment, "its version changes"));
            }
            addAdapterUnloads(assignment, unloads);
        }
        return unloads;
    }

    private String unloadReason(Assignment assignment) {
        Optional<ModelSpec> model = result.model(assignment.model());
        if (model.isEmpty()) {
            return "the model is removed";
        }
        return assignment.ordinal() >= model.get().maxReplicas() ? "fewer replicas are allowed" : "its replica moves";
    }

    private boolean isVersionChanged(ModelName name) {
        Optional<ModelSpec> before = base.model(name);
        Optional<ModelSpec> after = result.model(name);
        return before.isPresent()
                && after.isPresent()
                && !before.get().version().equals(after.get().version());
    }

    private void addAdapterUnloads(Assignment assignment, List<Unload> unloads) {
        for (AdapterSpec before : base.adapters()) {
            if (!before.base().equals(assignment.model())) {
                continue;
            }
            Optional<AdapterSpec> after = result.adapter(before.name());
            if (after.isEmpty()) {
                unloads.add(adapterUnload(before, assignment, "the adapter is removed"));
            } else if (!after.get().version().equals(before.version())
                    || !after.get().base().equals(before.base())) {
                unloads.add(adapterUnload(before, assignment, "its version or base changes"));
            }
        }
    }

    private Unload unload(Assignment assignment, String reason) {
        return new Unload(
                assignment.model(),
                assignment.instance(),
                base.model(assignment.model()).map(ModelSpec::organisations).orElse(List.of()),
                reason);
    }

    private static Unload adapterUnload(AdapterSpec adapter, Assignment assignment, String reason) {
        return new Unload(adapter.name(), assignment.instance(), adapter.organisations(), reason);
    }

    private Fit fit() {
        Map<ModelName, Footprint> footprints = Footprint.of(result);
        Map<InstanceId, Long> assignedMb = new HashMap<>();
        Map<InstanceId, Long> assignedAccelerators = new HashMap<>();
        for (Assignment assignment : forecast.assignments()) {
            Footprint footprint = footprints.get(assignment.model());
            assignedMb.merge(assignment.instance(), (long) footprint.memoryMb(), Long::sum);
            assignedAccelerators.merge(assignment.instance(), (long) footprint.accelerators(), Long::sum);
        }
        List<Fit.InstanceFit> instances = context.instances().stream()
                .filter(instance -> instance.availability() != Availability.GONE)
                .map(instance -> instanceFit(instance, assignedMb, assignedAccelerators))
                .toList();
        List<Fit.BudgetFit> budgets = result.organisations().stream()
                .map(spec -> new Fit.BudgetFit(
                        spec.id(), spec.maxAccelerators(), ConfigurationValidator.acceleratorsOf(result, spec.id())))
                .toList();
        return new Fit(instances, budgets);
    }

    private static Fit.InstanceFit instanceFit(
            PlacementInstance instance, Map<InstanceId, Long> assignedMb, Map<InstanceId, Long> accelerators) {
        return new Fit.InstanceFit(
                instance.id(),
                instance.memoryMb(),
                assignedMb.getOrDefault(instance.id(), 0L),
                instance.accelerators(),
                accelerators.getOrDefault(instance.id(), 0L));
    }

    private List<String> warnings(List<Change> changes, Fit fit, PendingWork pending, List<OpenPlan> others) {
        List<String> warnings = new ArrayList<>();
        if (changes.isEmpty()) {
            warnings.add("the intent changes nothing");
        }
        forecast.unplaced()
                .forEach(missing -> warnings.add(
                        "no available instance has room for replica " + missing.ordinal() + " of " + missing.model()));
        fit.instances().stream()
                .filter(instance -> instance.assignedMb() > instance.memoryMb()
                        || instance.assignedAccelerators() > instance.accelerators())
                .forEach(instance -> warnings.add("the replicas of " + instance.instance()
                        + " do not fit at the same time and will be loaded in turns"));
        if (!pending.releasing().isEmpty()) {
            warnings.add(pending.releasing().size() + " replicas of earlier confirms are not yet unloaded");
        }
        if (!pending.behind().isEmpty()) {
            warnings.add(
                    pending.behind().size() + " processes do not have version " + base.version() + " in force yet");
        }
        others.stream()
                .filter(plan -> !plan.touchesSame().isEmpty())
                .forEach(plan -> warnings.add("plan " + plan.id() + " of office " + plan.office() + " also changes "
                        + String.join(
                                ", ",
                                new HashSet<>(plan.touchesSame())
                                        .stream().sorted().toList())));
        return warnings;
    }

    private static String placementKey(ModelName model, InstanceId instance) {
        return model + "@" + instance;
    }
}
