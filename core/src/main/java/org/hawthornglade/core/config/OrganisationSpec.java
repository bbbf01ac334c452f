package org.hawthornglade.core.config;

import org.hawthornglade.core.id.OrganisationId;

/**
 * An organisation.
 *
 * @param id its id
 * @param share its weight when organisations compete; above 0
 * @param maxAccelerators the budget: how many accelerators its models may take together, were all replicas loaded
 */
public record OrganisationSpec(OrganisationId id, double share, int maxAccelerators) {}
