package org.hawthornglade.core.config;

import java.util.List;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.ServiceClass;
import org.hawthornglade.core.id.ServiceName;

/**
 * A plain service beside the model engines.
 *
 * @param name the name in the callers' path
 * @param operations what may be called; the longest matching prefix of the same method counts
 * @param maxConcurrent how many calls one endpoint runs at once
 * @param organisations who may call it
 * @param serviceClass the class of a call whose key names none
 */
public record ServiceSpec(
        ServiceName name,
        List<OperationSpec> operations,
        int maxConcurrent,
        List<OrganisationId> organisations,
        ServiceClass serviceClass) {
    /** Copies the lists. */
    public ServiceSpec {
        operations = operations == null ? List.of() : List.copyOf(operations);
        organisations = organisations == null ? List.of() : List.copyOf(organisations);
    }
}
