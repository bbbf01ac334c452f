package org.hawthornglade.core.plan;

import java.util.List;
import org.hawthornglade.core.config.AdapterSpec;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.OrganisationId;

/**
 * A requested change of an adapter. Fields that are null keep their current value.
 *
 * @param name the name of the adapter
 * @param base the base model
 * @param version the version of the adapter
 * @param memoryMb accelerator memory that the adapter takes in addition to its base, in MiB
 * @param organisations the organisations that may call it
 */
public record AdapterChange(
        ModelName name, ModelName base, String version, Integer memoryMb, List<OrganisationId> organisations)
        implements SpecChange<ModelName, AdapterSpec> {
    @Override
    public AdapterSpec applyTo(AdapterSpec existing) {
        return new AdapterSpec(
                name,
                StatedValue.orExisting(base, existing, AdapterSpec::base, null),
                StatedValue.orExisting(version, existing, AdapterSpec::version, null),
                StatedValue.orExisting(memoryMb, existing, AdapterSpec::memoryMb, 0),
                StatedValue.orExisting(organisations, existing, AdapterSpec::organisations, null));
    }
}
