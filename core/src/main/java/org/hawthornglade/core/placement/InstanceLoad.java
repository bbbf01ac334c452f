package org.hawthornglade.core.placement;

import java.util.HashSet;
import java.util.Set;
import org.hawthornglade.core.id.ModelName;

/** Adds up the resources of the rows that are assigned to one instance during a pass. */
final class InstanceLoad {
    private final PlacementInstance instance;
    private final Set<ModelName> models = new HashSet<>();
    private long memoryMb;
    private int accelerators;

    InstanceLoad(PlacementInstance instance) {
        this.instance = instance;
    }

    PlacementInstance instance() {
        return instance;
    }

    void add(ModelName model, Footprint footprint) {
        models.add(model);
        memoryMb += footprint.memoryMb();
        accelerators += footprint.accelerators();
    }

    boolean canHold(ModelName model, Footprint footprint) {
        return instance.availability() == Availability.AVAILABLE && !models.contains(model) && footprint.fits(instance);
    }

    /**
     * Returns the utilisation of the instance if all its replicas and one more were loaded; above 1 its agent has to
     * load them in turns.
     */
    double utilisationWith(Footprint footprint) {
        double memoryUtilisation = (double) (memoryMb + footprint.memoryMb()) / instance.memoryMb();
        double acceleratorUtilisation = (double) (accelerators + footprint.accelerators()) / instance.accelerators();
        return Math.max(memoryUtilisation, acceleratorUtilisation);
    }
}
