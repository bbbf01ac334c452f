package org.hawthornglade.entry.caller;

import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.ServiceClass;

/**
 * Who calls.
 *
 * @param organisation the organisation of the key
 * @param serviceClass the class of the key
 */
public record Caller(OrganisationId organisation, ServiceClass serviceClass) {}
