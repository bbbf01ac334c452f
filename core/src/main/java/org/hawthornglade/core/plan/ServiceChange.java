package org.hawthornglade.core.plan;

import java.util.List;
import org.hawthornglade.core.config.OperationSpec;
import org.hawthornglade.core.config.ServiceSpec;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.ServiceClass;
import org.hawthornglade.core.id.ServiceName;

/**
 * A stated change of a plain service. Fields that are null keep their value.
 *
 * @param name the name
 * @param operations what may be called
 * @param maxConcurrent calls that an endpoint runs at once
 * @param organisations who may call it
 * @param serviceClass the class of a call whose key names none
 */
public record ServiceChange(
        ServiceName name,
        List<OperationSpec> operations,
        Integer maxConcurrent,
        List<OrganisationId> organisations,
        ServiceClass serviceClass)
        implements SpecChange<ServiceName, ServiceSpec> {
    @Override
    public ServiceSpec applyTo(ServiceSpec soFar) {
        return new ServiceSpec(
                name,
                StatedValue.orExisting(operations, soFar, ServiceSpec::operations, null),
                StatedValue.orExisting(maxConcurrent, soFar, ServiceSpec::maxConcurrent, 1),
                StatedValue.orExisting(organisations, soFar, ServiceSpec::organisations, null),
                StatedValue.orExisting(serviceClass, soFar, ServiceSpec::serviceClass, null));
    }
}
