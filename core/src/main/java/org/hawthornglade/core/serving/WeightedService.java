package org.hawthornglade.core.serving;

import org.hawthornglade.core.id.ServiceName;

/**
 * A target of a route.
 *
 * @param service the service to which requests are sent
 * @param weight its weight relative to the other targets of the route; not negative
 */
public record WeightedService(ServiceName service, double weight) {}
