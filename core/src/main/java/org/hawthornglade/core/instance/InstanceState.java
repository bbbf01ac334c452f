package org.hawthornglade.core.instance;

/** What the platform says of an instance. */
public enum InstanceState {
    LIVE,
    LEAVING,
    /** The instance has ended and will never run again; ids are not used twice. */
    GONE
}
