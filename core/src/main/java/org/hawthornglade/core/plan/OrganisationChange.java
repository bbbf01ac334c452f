package org.hawthornglade.core.plan;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.hawthornglade.core.config.OrganisationSpec;
import org.hawthornglade.core.id.OrganisationId;

/**
 * A stated change of an organisation. Fields that are null keep their value.
 *
 * @param id the name
 * @param share its weight when organisations compete
 * @param maxAccelerators its budget of accelerators
 */
public record OrganisationChange(OrganisationId id, Double share, Integer maxAccelerators)
        implements SpecChange<OrganisationId, OrganisationSpec> {
    @Override
    @JsonIgnore
    public OrganisationId name() {
        return id;
    }

    @Override
    public OrganisationSpec applyTo(OrganisationSpec soFar) {
        return new OrganisationSpec(
                id,
                StatedValue.orExisting(share, soFar, OrganisationSpec::share, 1.0),
                StatedValue.orExisting(maxAccelerators, soFar, OrganisationSpec::maxAccelerators, 0));
    }
}
