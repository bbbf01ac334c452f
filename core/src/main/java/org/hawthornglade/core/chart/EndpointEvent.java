package org.hawthornglade.core.chart;

/** The events of an entry's connection to an agent. */
public enum EndpointEvent {
    /** The delay before the next connection attempt is over. */
    CONNECT,
    /** Both sides have proved that they hold the cluster key. */
    PROVED,
    /** The connection could not be opened, broke, or was closed. */
    FAILED,
    /** A report was received that announces no drain. */
    HEARTBEAT,
    /** No report was received within the limit. */
    HEARTBEAT_LATE,
    /** No report was received within the longer limit: the connection is abandoned. */
    SILENT,
    /** A report or the platform's list shows that the instance is leaving. */
    DRAIN_SEEN,
    /** The platform lists the instance as gone. */
    LISTED_GONE
}
