package org.hawthornglade.ports.http;

/** Whether a call may change something on the server. */
public enum CallEffect {
    /** Without a response nothing has changed. */
    NONE,
    /** Without a response it is unknown whether the change took effect. */
    CHANGE
}
