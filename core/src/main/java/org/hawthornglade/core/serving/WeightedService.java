package org.hawthornglade.core.serving;

import org.hawthornglade.core.id.ServiceName;

/**
 * One target of a route.
 *
 * @param service where requests go
 * @param weight its share against the other targets of the route; not negative
 */
public record WeightedService(ServiceName service, double weight) {}
