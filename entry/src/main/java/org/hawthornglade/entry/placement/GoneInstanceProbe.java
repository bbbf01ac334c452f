package org.hawthornglade.entry.placement;

import org.hawthornglade.core.id.InstanceId;

/** Checks whether an instance that is listed as gone still responds. */
@FunctionalInterface
public interface GoneInstanceProbe {
    /** Returns whether the instance's agent responds now. */
    boolean isResponding(InstanceId instance);
}
