package org.hawthornglade.core.plan;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.hawthornglade.core.config.OrganisationSpec;
import org.hawthornglade.core.id.OrganisationId;

/**
 * A requested change of an organisation. Fields that are null keep their current value.
 *
 * @param id the id of the organisation
 * @param share its weight when organisations compete
 * @param maxAccelerators its accelerator budget
 */
public record OrganisationChange(OrganisationId id, Double share, Integer maxAccelerators)
        implements SpecChange<OrganisationId, OrganisationSpec> {
    @Override
    @JsonIgnore
    public OrganisationId name() {
        return id;
    }

    @Override
    public OrganisationSpec applyTo(OrganisationSpec existing) {
        return new OrganisationSpec(
                id,
                StatedValue.orExisting(share, existing, OrganisationSpec::share, 1.0),
                StatedValue.orExisting(maxAccelerators, existing, OrganisationSpec::maxAccelerators, 0));
    }
}
