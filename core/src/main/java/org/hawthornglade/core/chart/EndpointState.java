package org.hawthornglade.core.chart;

/** The states of an entry's connection to an agent. */
public enum EndpointState {
    /** No connection; a new one is tried after a jittered pause. */
    DISCONNECTED,
    /** A connection is being opened and both sides prove the cluster key. */
    CONNECTING,
    /** Heartbeats come; work may be sent. */
    READY,
    /** A heartbeat is late; no new work is sent. */
    SUSPECT,
    /** The agent refuses new work and finishes what runs. */
    DRAINING,
    /** The platform lists the instance as gone. */
    REMOVED
}
