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

/** The connections to endpoints, a pool for each start of an instance. */
public final class EndpointConnections {
    /** How long a new connection to an endpoint may take. */
    private static final int CONNECT_TIMEOUT_MS = 400;

    /** One start of an instance at its address. */
    private record Incarnation(InstanceId instance, long bornMs, InstanceAddress address) {}

    private final EventLoop loop;
    private final Clock clock;
    private final Map<Incarnation, ConnectionPool> pools = new HashMap<>();

    /** Creates a set without connections. */
    public EndpointConnections(EventLoop loop, Clock clock) {
        this.loop = loop;
        this.clock = clock;
    }

    /** Returns the connections to an instance. */
    public ConnectionPool pool(InstanceRecord record) {
        return pools.computeIfAbsent(
                incarnation(record), key -> new ConnectionPool(loop, clock, key.address(), CONNECT_TIMEOUT_MS));
    }

    /** Ends the idle connections to instances that are no longer there. */
    public void retainPresent(Iterable<Endpoint> endpoints) {
        Set<Incarnation> present = new HashSet<>();
        endpoints.forEach(endpoint -> present.add(incarnation(endpoint.record())));
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
