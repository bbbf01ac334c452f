package org.hawthornglade.ports.configuration;

import java.util.List;
import org.hawthornglade.core.placement.PlacementInstance;
import org.hawthornglade.core.plan.NodeVersion;

/** What this process knows of the others. */
public interface Fleet {
    /** Returns the engine instances as listed and heard. */
    List<PlacementInstance> instances();

    /** Returns the configuration version of every process, this one included. */
    List<NodeVersion> nodes();
}
