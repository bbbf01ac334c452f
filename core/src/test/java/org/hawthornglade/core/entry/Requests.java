package org.hawthornglade.core.entry;

import java.util.List;
import org.hawthornglade.core.config.Configurations;
import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.report.AgentView;
import org.hawthornglade.core.report.ReplicaPhase;
import org.hawthornglade.core.report.ReplicaView;

/** Creates requests and agent reports for tests. */
final class Requests {
    static final ModelName QUOTE = ModelName.of("quote");
    static final ServiceName ORDERS = ServiceName.of("orders");

    private static final int SLOTS = 4;

    private Requests() {}

    static IncomingRequest onQuote(String id, long nowMs, long deadlineMs) {
        return request(id, new Target.OnModel(QUOTE, null), nowMs, deadlineMs, true);
    }

    static IncomingRequest onOrders(String id, long nowMs, long deadlineMs) {
        return request(id, new Target.OnService(ORDERS), nowMs, deadlineMs, false);
    }

    static AgentView engine(String instance, boolean draining, ReplicaPhase phase, long readyInMs) {
        ReplicaView replica = new ReplicaView(QUOTE, 0, phase, 0, SLOTS, readyInMs, readyInMs, List.of(), "1");
        return view(instance, draining, List.of(replica), null, 0);
    }

    static AgentView orders(String instance, boolean draining) {
        return view(instance, draining, List.of(), ORDERS, SLOTS);
    }

    private static IncomingRequest request(String id, Target target, long nowMs, long deadlineMs, boolean idempotent) {
        return new IncomingRequest(
                RequestId.of(id),
                target,
                Configurations.MILLS,
                Configurations.DRAFTING,
                1,
                nowMs,
                nowMs + deadlineMs,
                idempotent);
    }

    private static AgentView view(
            String instance, boolean draining, List<ReplicaView> replicas, ServiceName service, int maxConcurrent) {
        return new AgentView(
                InstanceId.of(instance),
                FailureDomain.of("domain-a"),
                1,
                1,
                1,
                draining,
                true,
                replicas,
                0,
                0,
                service,
                maxConcurrent);
    }
}
