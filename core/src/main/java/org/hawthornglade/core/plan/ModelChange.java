package org.hawthornglade.core.plan;

import java.util.List;
import org.hawthornglade.core.config.ModelSpec;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.ServiceClass;

/**
 * A requested change of a base model. Fields that are null keep their current value.
 *
 * @param name the name of the model
 * @param version the version of the checkpoint
 * @param memoryMb accelerator memory of the weights, in MiB
 * @param kvCacheMb accelerator memory of the KV cache, in MiB
 * @param accelerators the number of accelerators per replica
 * @param maxReplicas the maximum number of loaded replicas
 * @param maxConcurrent how many requests a replica runs at once
 * @param organisations the organisations that may call it
 * @param serviceClass the class of a request whose key does not name one
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
    public ModelSpec applyTo(ModelSpec existing) {
        return new ModelSpec(
                name,
                StatedValue.orExisting(version, existing, ModelSpec::version, null),
                StatedValue.orExisting(memoryMb, existing, ModelSpec::memoryMb, 0),
                StatedValue.orExisting(kvCacheMb, existing, ModelSpec::kvCacheMb, 0),
                StatedValue.orExisting(accelerators, existing, ModelSpec::accelerators, 1),
                StatedValue.orExisting(maxReplicas, existing, ModelSpec::maxReplicas, 0),
                StatedValue.orExisting(maxConcurrent, existing, ModelSpec::maxConcurrent, 1),
                StatedValue.orExisting(organisations, existing, ModelSpec::organisations, null),
                StatedValue.orExisting(serviceClass, existing, ModelSpec::serviceClass, null));
    }
}
