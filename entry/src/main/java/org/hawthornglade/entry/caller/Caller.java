package org.hawthornglade.entry.caller;

import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.id.ServiceClass;

/**
 * An authenticated caller.
 *
 * @param organisation the organisation of the key
 * @param serviceClass the service class of the key
 */
public record Caller(OrganisationId organisation, ServiceClass serviceClass) {}
