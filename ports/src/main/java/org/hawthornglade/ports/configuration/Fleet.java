package org.hawthornglade.ports.configuration;

import java.util.List;
import org.hawthornglade.core.placement.PlacementInstance;
import org.hawthornglade.core.plan.NodeVersion;

/** Provides what this process knows about the other processes. */
public interface Fleet {
    /** Returns the engine instances, by the platform's list and the agents' reports. */
    List<PlacementInstance> instances();

    /** Returns the configuration version of every process, this one included. */
    List<NodeVersion> nodes();
}
