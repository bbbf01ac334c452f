package org.hawthornglade.core.plan;

import java.util.List;
import org.hawthornglade.core.config.AdapterSpec;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.OrganisationId;

/**
 * A stated change of an adapter. Fields that are null keep their value.
 *
 * @param name the name
 * @param base the base model
 * @param version its version
 * @param memoryMb accelerator memory beside its base, in MiB
 * @param organisations who may call it
 */
public record AdapterChange(
        ModelName name, ModelName base, String version, Integer memoryMb, List<OrganisationId> organisations)
        implements SpecChange<ModelName, AdapterSpec> {
    @Override
    public AdapterSpec applyTo(AdapterSpec soFar) {
        return new AdapterSpec(
                name,
                StatedValue.orExisting(base, soFar, AdapterSpec::base, null),
                StatedValue.orExisting(version, soFar, AdapterSpec::version, null),
                StatedValue.orExisting(memoryMb, soFar, AdapterSpec::memoryMb, 0),
                StatedValue.orExisting(organisations, soFar, AdapterSpec::organisations, null));
    }
}
