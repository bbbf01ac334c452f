package org.hawthornglade.core.plan;

import java.util.List;
import org.hawthornglade.core.config.ModelSpec;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.ServiceClass;

/**
 * A stated change of a base model. Fields that are null keep their value.
 *
 * @param name the name
 * @param version the version of the checkpoint
 * @param memoryMb accelerator memory of its weights, in MiB
 * @param kvCacheMb accelerator memory of its KV cache, in MiB
 * @param accelerators accelerators a replica
 * @param maxReplicas how many replicas may be loaded at most
 * @param maxConcurrent requests that a replica runs at once
 * @param organisations who may call it
 * @param serviceClass the class of a request whose key names none
 */
public record ModelChange(
        ModelName name,
        String version,
        Integer memoryMb,
        Integer kvCacheMb,
        Integer accelerators,
        Integer maxReplicas,
        Integer maxConcurrent,
        List<OrganisationId> organisations,
        ServiceClass serviceClass)
        implements SpecChange<ModelName, ModelSpec> {
    @Override
    public ModelSpec applyTo(ModelSpec soFar) {
        return new ModelSpec(
                name,
                StatedValue.orExisting(version, soFar, ModelSpec::version, null),
                StatedValue.orExisting(memoryMb, soFar, ModelSpec::memoryMb, 0),
                StatedValue.orExisting(kvCacheMb, soFar, ModelSpec::kvCacheMb, 0),
                StatedValue.orExisting(accelerators, soFar, ModelSpec::accelerators, 1),
                StatedValue.orExisting(maxReplicas, soFar, ModelSpec::maxReplicas, 0),
                StatedValue.orExisting(maxConcurrent, soFar, ModelSpec::maxConcurrent, 1),
                StatedValue.orExisting(organisations, soFar, ModelSpec::organisations, null),
                StatedValue.orExisting(serviceClass, soFar, ModelSpec::serviceClass, null));
    }
}
