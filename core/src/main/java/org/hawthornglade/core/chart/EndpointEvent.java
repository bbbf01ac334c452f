package org.hawthornglade.core.chart;

/** What happens to an entry's connection to an agent. */
public enum EndpointEvent {
    /** The pause is over. */
    CONNECT,
    /** Both sides have proved the cluster key. */
    PROVED,
    /** The connection could not be opened, broke, or was closed. */
    FAILED,
    /** A report came that announces no drain. */
    HEARTBEAT,
    /** No report came within the limit. */
    HEARTBEAT_LATE,
    /** No report came within the longer limit: the connection is given up. */
    SILENT,
    /** A report or the platform's list says that the instance is leaving. */
    DRAIN_SEEN,
    /** The platform lists the instance as gone. */
    LISTED_GONE
}
