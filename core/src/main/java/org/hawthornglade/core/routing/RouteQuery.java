package org.hawthornglade.core.routing;

import org.hawthornglade.core.id.FailureDomain;
import org.hawthornglade.core.id.ModelName;

/**
 * The properties of a request that matter for choosing its endpoint.
 *
 * @param domain the failure domain of the entry that routes the request
 * @param adapter the adapter that the request needs; null if none
 * @param prefixHash a hash of the leading part of the prompt, for affinity; 0 if there is none
 */
public record RouteQuery(FailureDomain domain, ModelName adapter, long prefixHash) {}
