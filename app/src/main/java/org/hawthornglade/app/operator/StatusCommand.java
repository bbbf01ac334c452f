package org.hawthornglade.app.operator;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.hawthornglade.app.Command;
import org.hawthornglade.app.ExitCode;
import org.hawthornglade.core.instance.InstanceRole;
import org.hawthornglade.entry.operator.Status;

/** Prints the configuration in force, every process, every replica and the unconfirmed plans. */
@Parameters(commandDescription = "Shows the configuration in force, every process and every replica")
public final class StatusCommand implements Command {
    @ParametersDelegate
    private final OperatorOptions options = new OperatorOptions();

    @Override
    public String name() {
        return "status";
    }

    @Override
    public ExitCode run(PrintStream out) throws IOException {
        OperatorResponse response = new OperatorHttp(options).get("/operator/status");
        return new ResponseWriter(options, out).write(response, Status.class, status -> print(status, out));
    }

    private static void print(Status status, PrintStream out) {
        Status.InForce inForce = status.configuration();
        out.println(
                inForce.version() == 0
                        ? "configuration: none confirmed yet"
                        : "configuration: version " + inForce.version() + ", plan " + inForce.planId() + " by office "
                                + inForce.office());
        out.println("table service: "
                + (status.store().reachable() ? "answers" : status.store().failure()));
        printNodes(status, out);
        printReplicas(status, out);
        TextTable plans = new TextTable("plan", "office", "base", "reason");
        status.plans().forEach(plan -> plans.addRow(plan.id(), plan.office(), plan.baseVersion(), plan.reason()));
        plans.print("unconfirmed plans", out);
    }

    private static void printNodes(Status status, PrintStream out) {
        TextTable nodes = new TextTable("instance", "role", "domain", "listed", "version", "state", "running");
        for (Status.Node node : status.nodes()) {
            nodes.addRow(
                    node.instance(),
                    node.role().toLowerCase(Locale.ROOT),
                    node.failureDomain(),
                    node.listed().toLowerCase(Locale.ROOT),
                    node.version() < 0 ? "unknown" : node.version(),
                    state(node),
                    node.running());
        }
        nodes.print("processes", out);
    }

    private static String state(Status.Node node) {
        List<String> conditions = new ArrayList<>();
        if (node.behind()) {
            conditions.add("behind");
        }
        if (node.draining()) {
            conditions.add("draining");
        }
        boolean isAgent = !node.role().equals(InstanceRole.ENTRY.name());
        if (isAgent && node.version() >= 0 && !node.endpointReachable()) {
            conditions.add("endpoint unreachable");
        }
        return conditions.isEmpty() ? "ok" : String.join(", ", conditions);
    }

    private static void printReplicas(Status status, PrintStream out) {
        TextTable replicas = new TextTable("model", "replica", "instance", "assignment", "phase", "running");
        status.replicas()
                .forEach(replica -> replicas.addRow(
                        replica.model(),
                        replica.ordinal(),
                        replica.instance(),
                        replica.assignment().name().toLowerCase(Locale.ROOT),
                        replica.phase().toLowerCase(Locale.ROOT),
                        replica.running()));
        replicas.print("replicas", out);
    }
}
