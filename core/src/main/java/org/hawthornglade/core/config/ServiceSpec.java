package org.hawthornglade.core.config;

import java.util.List;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.ServiceClass;
import org.hawthornglade.core.id.ServiceName;

/**
 * A plain service that is served in addition to the models.
 *
 * @param name the name that callers use in the path
 * @param operations the operations that may be called; the longest matching prefix with the same method applies
 * @param maxConcurrent how many calls one endpoint runs at once
 * @param organisations the organisations that may call it
 * @param serviceClass the class of a call whose key does not name one
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
