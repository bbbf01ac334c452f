package org.hawthornglade.core.instance;

/** The state of an instance in the platform's list. */
public enum InstanceState {
    LIVE,
    LEAVING,
    /** The instance has ended and will never run again; ids are not reused. */
    GONE
}
