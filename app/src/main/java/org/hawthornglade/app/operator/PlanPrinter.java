package org.hawthornglade.app.operator;

import java.io.PrintStream;
import java.util.Locale;
import java.util.stream.Collectors;
import org.hawthornglade.core.plan.Change;
import org.hawthornglade.core.plan.Fit;
import org.hawthornglade.core.plan.NodeVersion;
import org.hawthornglade.core.plan.Plan;

/** Prints a plan as text. */
final class PlanPrinter {
    private final PrintStream out;

    PlanPrinter(PrintStream out) {
        this.out = out;
    }

    void print(Plan plan) {
        out.printf(
                "plan %s by office %s, based on version %d, becomes version %d when confirmed%n",
                plan.id(), plan.office(), plan.baseVersion(), plan.result().version());
        printChanges(plan);
        printReplicas(plan);
        printUnloads(plan);
        printFit(plan.fit());
        printInProgress(plan);
        printOtherPlans(plan);
        plan.warnings().forEach(warning -> out.println("warning: " + warning));
        out.println();
        out.println("nothing has changed yet; to put the plan into force: hawthornglade confirm " + plan.id());
    }

    private void printChanges(Plan plan) {
        TextTable table = new TextTable("change", "what", "fields");
        for (Change change : plan.changes()) {
            String fields = change.fields().stream()
                    .map(field -> field.field() + " " + field.before() + " -> " + field.after())
                    .collect(Collectors.joining(", "));
            table.addRow(change.kind().name().toLowerCase(Locale.ROOT), change.subject(), fields);
        }
        table.print("changes", out);
    }

    private void printReplicas(Plan plan) {
        TextTable table = new TextTable("model", "replica", "instance", "new");
        plan.replicas()
                .forEach(replica -> table.addRow(
                        replica.model(),
                        replica.ordinal(),
                        replica.instance() == null ? "no room" : replica.instance(),
                        replica.isNew() ? "yes" : ""));
        table.print("replicas after confirmation", out);
    }

    private void printUnloads(Plan plan) {
        TextTable table = new TextTable("model", "instance", "from under", "why");
        plan.unloads()
                .forEach(unload -> table.addRow(
                        unload.model(),
                        unload.instance(),
                        unload.organisations().stream().map(Object::toString).collect(Collectors.joining(" ")),
                        unload.reason()));
        table.print("unloads", out);
    }

    private void printFit(Fit fit) {
        TextTable instances = new TextTable("instance", "assigned_mb", "memory_mb", "assigned", "accelerators");
        fit.instances()
                .forEach(instance -> instances.addRow(
                        instance.instance(),
                        instance.assignedMb(),
                        instance.memoryMb(),
                        instance.assignedAccelerators(),
                        instance.accelerators()));
        instances.print("fit of instances if all replicas were loaded at the same time", out);
        TextTable budgets = new TextTable("organisation", "at_most", "budget");
        fit.budgets()
                .forEach(budget ->
                        budgets.addRow(budget.organisation(), budget.acceleratorsAtMost(), budget.maxAccelerators()));
        budgets.print("accelerator budgets", out);
    }

    private void printInProgress(Plan plan) {
        TextTable releasing = new TextTable("model", "replica", "instance");
        plan.underWay().releasing().forEach(row -> releasing.addRow(row.model(), row.ordinal(), row.instance()));
        releasing.print("still being released for previously confirmed plans", out);
        TextTable behind = new TextTable("process", "version");
        for (NodeVersion node : plan.underWay().behind()) {
            behind.addRow(node.node(), node.version() < 0 ? "unknown" : node.version());
        }
        behind.print("processes behind version " + plan.baseVersion(), out);
    }

    private void printOtherPlans(Plan plan) {
        TextTable others = new TextTable("plan", "office", "reason", "also changes", "state");
        plan.otherPlans()
                .forEach(other -> others.addRow(
                        other.id(),
                        other.office(),
                        other.reason(),
                        String.join(" ", other.touchesSame()),
                        other.baseMoved() ? "stale" : "open"));
        others.print("other unconfirmed plans", out);
    }
}
