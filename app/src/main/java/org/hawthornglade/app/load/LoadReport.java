package org.hawthornglade.app.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The result of a load run.
 *
 * @param runId identifies the run
 * @param seed the seed of the run
 * @param durationMs length of the measured period after the warm-up, in milliseconds
 * @param latestSendMs maximum delay between when a request was due and when it was sent, in milliseconds
 * @param flows the reports of all flows
 * @param classes the reports of all service classes, by name
 * @param shares the latency added by the system, for flows that are compared with direct calls
 * @param executions the executions at plain services; null if none was configured
 */
public record LoadReport(
        String runId,
        long seed,
        long durationMs,
        double latestSendMs,
        List<FlowReport> flows,
        Map<String, ClassReport> classes,
        List<ShareReport> shares,
        ExecutionReport executions) {
    static Map<String, ClassReport> classes(LoadSettings settings, List<FlowReport> flows) {
        Map<String, ClassReport> classes = new TreeMap<>();
        for (int i = 0; i < flows.size(); i++) {
            if (settings.flows().get(i).kind() != FlowKind.DIRECT_CHAT) {
                FlowReport flow = flows.get(i);
                ClassReport total = classes.getOrDefault(flow.serviceClass(), new ClassReport(0, 0));
                classes.put(flow.serviceClass(), total.plus(flow));
            }
        }
        return classes;
    }

    static List<ShareReport> shares(LoadSettings settings, List<FlowReport> flows) {
        List<ShareReport> shares = new ArrayList<>();
        for (int i = 0; i < flows.size(); i++) {
            String directFlow = settings.flows().get(i).directFlow();
            FlowReport flow = flows.get(i);
            flows.stream()
                    .filter(other -> other.name().equals(directFlow))
                    .forEach(other -> shares.add(ShareReport.of(flow, other)));
        }
        return shares;
    }

    /** Returns whether no call was lost, wrong, unanswered, run twice or falsely reported; refusals are not faults. */
    public boolean clean() {
        boolean responsesClean = flows.stream().allMatch(flow -> flow.wrong() + flow.lost() + flow.unanswered() == 0);
        boolean executionsClean = executions == null
                || executions.doubled() + executions.untrueRefusals() + executions.answeredWithoutRun() == 0;
        return responsesClean && executionsClean;
    }
}
