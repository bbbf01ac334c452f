package org.hawthornglade.agent.endpoint;

/** Polls the state of the endpoint. */
@FunctionalInterface
public interface EndpointPoller {
    /** Polls once; blocks until the endpoint answers or the connection times out. */
    void poll();
}
