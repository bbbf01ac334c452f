package org.hawthornglade.core.routing;

import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.ModelName;

/**
 * What matters of a request for choosing its endpoint.
 *
 * @param domain the failure domain of the entry that asks
 * @param adapter the adapter it asks for; null if none
 * @param prefixHash a hash of the leading part of the prompt, for affinity; 0 if it has none
 */
public record RouteQuery(FailureDomain domain, ModelName adapter, long prefixHash) {}
