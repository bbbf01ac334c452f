package org.hawthornglade.app.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The result of a run of load.
 *
 * @param runId the run
 * @param seed its seed
 * @param durationMs how long requests were sent that counted, in milliseconds
 * @param latestSendMs by how much the latest request was sent after it was due, in milliseconds
 * @param flows each flow
 * @param classes each class of service
 * @param shares the system's own share, where direct calls were made
 * @param executions what plain services ran; null if none was asked
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
                ClassReport before = classes.getOrDefault(flow.serviceClass(), new ClassReport(0, 0));
                classes.put(flow.serviceClass(), before.plus(flow));
            }
        }
        return classes;
    }

    static List<ShareReport> shares(LoadSettings settings, List<FlowReport> flows) {
        List<ShareReport> shares = new ArrayList<>();
        for (int i = 0; i < flows.size(); i++) {
            String direct = settings.flows().get(i).directFlow();
            FlowReport flow = flows.get(i);
            flows.stream()
                    .filter(other -> other.name().equals(direct))
                    .forEach(other -> shares.add(ShareReport.of(flow, other)));
        }
        return shares;
    }

    /** Returns whether nothing was lost, wrong, doubled or untrue; refusals are no fault. */
    public boolean clean() {
        boolean answers = flows.stream().allMatch(flow -> flow.wrong() + flow.lost() + flow.unanswered() == 0);
        boolean runs = executions == null
                || executions.doubled() + executions.untrueRefusals() + executions.answeredWithoutRun() == 0;
        return answers && runs;
    }
}
