package org.hawthornglade.agent.endpoint;

/** Finds out how the endpoint is. */
@FunctionalInterface
public interface EndpointPoller {
    /** Asks once; blocks until the endpoint answers or the time limit of the connection passes. */
    void poll();
}
