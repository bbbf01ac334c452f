package org.hawthornglade.core.plan;

import java.util.List;
import org.hawthornglade.core.config.OperationSpec;
import org.hawthornglade.core.config.ServiceSpec;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.ServiceClass;
import org.hawthornglade.core.id.ServiceName;

/**
 * A requested change of a plain service. Fields that are null keep their current value.
 *
 * @param name the name of the service
 * @param operations the operations that may be called
 * @param maxConcurrent how many calls one endpoint runs at once
 * @param organisations the organisations that may call it
 * @param serviceClass the class of a call whose key does not name one
 */
public record ServiceChange(
        ServiceName name,
        List<OperationSpec> operations,
        Integer maxConcurrent,
        List<OrganisationId> organisations,
        ServiceClass serviceClass)
        implements SpecChange<ServiceName, ServiceSpec> {
    @Override
    public ServiceSpec applyTo(ServiceSpec existing) {
        return new ServiceSpec(
                name,
                StatedValue.orExisting(operations, existing, ServiceSpec::operations, null),
                StatedValue.orExisting(maxConcurrent, existing, ServiceSpec::maxConcurrent, 1),
                StatedValue.orExisting(organisations, existing, ServiceSpec::organisations, null),
                StatedValue.orExisting(serviceClass, existing, ServiceSpec::serviceClass, null));
    }
}
