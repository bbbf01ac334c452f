package org.hawthornglade.core.instance;

/** What runs on an instance. */
public enum InstanceRole {
    ENTRY,
    ENGINE,
    SERVICE
}
