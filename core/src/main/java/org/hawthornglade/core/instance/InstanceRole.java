package org.hawthornglade.core.instance;

/** The role of an instance: what runs on it. */
public enum InstanceRole {
    ENTRY,
    ENGINE,
    SERVICE
}
