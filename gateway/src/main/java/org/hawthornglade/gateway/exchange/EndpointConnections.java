package org.hawthornglade.gateway.exchange;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hawthornglade.core.fleet.Endpoint;
import org.hawthornglade.core.fleet.InstanceAddress;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.gateway.http.ConnectionPool;
import org.hawthornglade.gateway.http.UnexpectedResponseListener;

/** Connections to endpoints, in one pool for the calls of each start of an instance and one for its reports. */
public final class EndpointConnections {
    /** Timeout for opening a connection to an endpoint. */
    private static final int CONNECT_TIMEOUT_MS = 400;

    /** One start of an instance at its address. */
    private record Incarnation(InstanceId instance, long bornMs, InstanceAddress address) {}

    private final EventLoop loop;
    private final Clock clock;
    private final UnexpectedResponseListener unexpectedResponses;
    private final Map<Incarnation, ConnectionPool> pools = new HashMap<>();
    private final Map<Incarnation, ConnectionPool> reportPools = new HashMap<>();

    /** Creates an empty set of pools. */
    public EndpointConnections(EventLoop loop, Clock clock, UnexpectedResponseListener unexpectedResponses) {
        this.unexpectedResponses = unexpectedResponses;
        this.loop = loop;
        this.clock = clock;
    }

    /** Returns the connection pool for the calls of an instance. */
    public ConnectionPool pool(InstanceRecord record) {
        return pools.computeIfAbsent(incarnation(record), this::newPool);
    }

    /**
     * Returns the connection pool for the reports of an instance, which name no request.
     *
     * <p>Apart from the calls, so that a late copy of a response there can only be an older report.
     */
    public ConnectionPool reportPool(InstanceRecord record) {
        return reportPools.computeIfAbsent(incarnation(record), this::newPool);
    }

    private ConnectionPool newPool(Incarnation incarnation) {
        return new ConnectionPool(loop, clock, incarnation.address(), CONNECT_TIMEOUT_MS, unexpectedResponses);
    }

    /** Removes the pools of instances that are no longer present and closes their idle connections. */
    public void retainPresent(Iterable<Endpoint> endpoints) {
        Set<Incarnation> present = new HashSet<>();
        endpoints.forEach(endpoint -> present.add(incarnation(endpoint.record())));
        retain(pools, present);
        retain(reportPools, present);
    }

    private static void retain(Map<Incarnation, ConnectionPool> pools, Set<Incarnation> present) {
        for (Incarnation key : List.copyOf(pools.keySet())) {
            if (!present.contains(key)) {
                pools.remove(key).closeIdle();
            }
        }
    }

    private static Incarnation incarnation(InstanceRecord record) {
        return new Incarnation(record.id(), record.bornMs(), record.address());
    }
}
