package org.hawthornglade.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.hawthornglade.core.config.ClassSpec;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.OrganisationSpec;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.ServiceClass;

/** The weights and limits of classes and organisations, looked up by id. */
public final class AdmissionWeights {
    private static final int DEFAULT_MAX_QUEUED = 1_000;
    private static final double DEFAULT_WEIGHT = 1;

    private final Map<ServiceClass, ClassSpec> classes = new HashMap<>();
    private final Map<OrganisationId, OrganisationSpec> organisations = new HashMap<>();

    private AdmissionWeights() {}

    /** Takes the weights out of a configuration. */
    public static AdmissionWeights of(Configuration configuration) {
        AdmissionWeights weights = new AdmissionWeights();
        configuration.classes().forEach(spec -> weights.classes.put(spec.name(), spec));
        configuration.organisations().forEach(spec -> weights.organisations.put(spec.id(), spec));
        return weights;
    }

    /** Returns the weight of a class; 1 if it is not known. */
    public double weightOf(ServiceClass name) {
        ClassSpec spec = classes.get(name);
        return spec == null ? DEFAULT_WEIGHT : spec.weight();
    }

    /** Returns how many requests of a class may wait. */
    public int maxQueuedOf(ServiceClass name) {
        ClassSpec spec = classes.get(name);
        return spec == null ? DEFAULT_MAX_QUEUED : spec.maxQueued();
    }

    /** Returns the share of an organisation; 1 if it is not known. */
    public double shareOf(OrganisationId id) {
        OrganisationSpec spec = organisations.get(id);
        return spec == null ? DEFAULT_WEIGHT : spec.share();
    }
}
