package org.hawthornglade.core.placement;

import java.util.HashSet;
import java.util.Set;
import org.hawthornglade.core.id.ModelName;

/** What the rows of one instance add up to during a pass. */
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

    /** Returns how full the instance would be, were everything assigned to it loaded; above 1 means taking turns. */
    double utilisationWith(Footprint footprint) {
        double memoryFill = (double) (memoryMb + footprint.memoryMb()) / instance.memoryMb();
        double acceleratorFill = (double) (accelerators + footprint.accelerators()) / instance.accelerators();
        return Math.max(memoryFill, acceleratorFill);
    }
}
