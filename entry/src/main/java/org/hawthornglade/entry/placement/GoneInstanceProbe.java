package org.hawthornglade.entry.placement;

import org.hawthornglade.core.id.InstanceId;

/** Finds out whether an instance that is listed as gone answers all the same. */
@FunctionalInterface
public interface GoneInstanceProbe {
    /** Returns whether the instance's agent answered just now. */
    boolean isResponding(InstanceId instance);
}
