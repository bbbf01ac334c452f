package org.hawthornglade.core.chart;

/** The states of an endpoint's agent as an entry sees it: of the connection to it, and of its departure. */
public enum EndpointState {
    /** No connection; a new one is tried after a randomised delay. */
    DISCONNECTED,
    /** A connection is being opened and both sides prove that they hold the cluster key. */
    CONNECTING,
    /** Heartbeats are received; work may be sent. */
    READY,
    /** A heartbeat is overdue; no new work is sent. */
    SUSPECT,
    /** The agent refuses new work and finishes the running requests. */
    DRAINING,
    /** The platform lists the instance as gone. */
    REMOVED
}
