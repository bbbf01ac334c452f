package org.hawthornglade.core.config;

import org.hawthornglade.core.id.OrganisationId;

/**
 * An organisation, which may call models and services.
 *
 * @param id the id of the organisation
 * @param share its weight when organisations compete; above 0
 * @param maxAccelerators its budget: how many accelerators its models may take together with all replicas loaded
 */
public record OrganisationSpec(OrganisationId id, double share, int maxAccelerators) {}
