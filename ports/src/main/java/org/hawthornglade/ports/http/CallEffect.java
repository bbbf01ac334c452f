package org.hawthornglade.ports.http;

/** Whether a call may change something at the other side. */
public enum CallEffect {
    /** A lost answer means that nothing happened. */
    NONE,
    /** A lost answer leaves it open whether the change took effect. */
    CHANGE
}
