package org.hawthornglade.core.config;

import java.util.List;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.id.OrganisationId;

/**
 * An adapter of a base model; callers use its name as a model name.
 *
 * @param name the name that callers use
 * @param base the base model
 * @param version the version of the adapter
 * @param memoryMb accelerator memory that the adapter takes in addition to its base, in MiB
 * @param organisations the organisations that may call it
 */
public record AdapterSpec(
        ModelName name, ModelName base, String version, int memoryMb, List<OrganisationId> organisations) {
    /** Copies the list. */
    public AdapterSpec {
        organisations = organisations == null ? List.of() : List.copyOf(organisations);
    }
}
