package org.hawthornglade.entry.placement;

import java.util.List;
import java.util.function.Supplier;
import org.apache.thrift.TException;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.instance.InstanceInfo;
import org.hawthornglade.entry.control.AgentAddress;
import org.hawthornglade.entry.control.AgentConnection;
import org.hawthornglade.node.auth.ClusterKeys;

/** Probes an instance's agent by having it prove the cluster key on a new connection. */
public final class AgentProbe implements GoneInstanceProbe {
    private static final int TIMEOUT_MS = 500;

    private final Supplier<List<InstanceInfo>> listed;
    private final String entryId;
    private final ClusterKeys keys;

    /**
     * Creates a probe.
     *
     * @param listed supplies the instance list as last read
     * @param entryId the id of the probing entry
     * @param keys the cluster keys
     */
    public AgentProbe(Supplier<List<InstanceInfo>> listed, String entryId, ClusterKeys keys) {
        this.listed = listed;
        this.entryId = entryId;
        this.keys = keys;
    }

    @Override
    public boolean isResponding(InstanceId instance) {
        return listed.get().stream().filter(info -> info.id().equals(instance)).anyMatch(this::isResponding);
    }

    private boolean isResponding(InstanceInfo info) {
        AgentAddress address = new AgentAddress(info.id(), info.host(), info.httpPort(), info.controlPort());
        try (AgentConnection connection = AgentConnection.open(address, entryId, keys, TIMEOUT_MS)) {
            return connection.client() != null;
        } catch (TException e) {
            return false;
        }
    }
}
