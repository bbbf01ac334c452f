package org.hawthornglade.core.config;

import java.util.List;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.OrganisationId;

/**
 * An adapter on a base model; callers use its name as a model name.
 *
 * @param name the name callers use
 * @param base the base model
 * @param version the adapter's version
 * @param memoryMb accelerator memory it takes beside its base, in MiB
 * @param organisations who may call it
 */
public record AdapterSpec(
        ModelName name, ModelName base, String version, int memoryMb, List<OrganisationId> organisations) {
    /** Copies the list. */
    public AdapterSpec {
        organisations = organisations == null ? List.of() : List.copyOf(organisations);
    }
}
