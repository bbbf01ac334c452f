package org.hawthornglade.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.hawthornglade.core.config.ClassSpec;
import org.hawthornglade.core.config.Configuration;
import org.hawthornglade.core.config.OrganisationSpec;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.ServiceClass;

/** Looks up the weights and limits of service classes and organisations. */
public final class AdmissionWeights {
    private static final int DEFAULT_MAX_QUEUED = 1_000;
    private static final double DEFAULT_WEIGHT = 1;

    private final Map<ServiceClass, ClassSpec> classes = new HashMap<>();
    private final Map<OrganisationId, OrganisationSpec> organisations = new HashMap<>();

    private AdmissionWeights() {}

    /** Creates the weights and limits of a configuration. */
    public static AdmissionWeights of(Configuration configuration) {
        AdmissionWeights weights = new AdmissionWeights();
        configuration.classes().forEach(spec -> weights.classes.put(spec.name(), spec));
        configuration.organisations().forEach(spec -> weights.organisations.put(spec.id(), spec));
        return weights;
    }

    /** Returns the weight of a service class; 1 if it is unknown. */
    public double weightOf(ServiceClass name) {
        ClassSpec spec = classes.get(name);
        return spec == null ? DEFAULT_WEIGHT : spec.weight();
    }

    /** Returns how many requests of a service class may wait; 1000 if it is unknown. */
    public int maxQueuedOf(ServiceClass name) {
        ClassSpec spec = classes.get(name);
        return spec == null ? DEFAULT_MAX_QUEUED : spec.maxQueued();
    }

    /** Returns the share of an organisation; 1 if it is unknown. */
    public double shareOf(OrganisationId id) {
        OrganisationSpec spec = organisations.get(id);
        return spec == null ? DEFAULT_WEIGHT : spec.share();
    }
}
