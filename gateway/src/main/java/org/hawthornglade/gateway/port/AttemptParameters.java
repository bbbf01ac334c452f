package org.hawthornglade.gateway.port;

import java.util.Optional;
import org.hawthornglade.core.id.InstanceId;

/**
 * What the system says to an endpoint beside the caller's own headers.
 *
 * @param instance the only instance that may run the request
 * @param remainingMs when the endpoint stops working on it, from now
 * @param priority the rank of the route; 0 goes first
 * @param lastEventId from which event on a stream is to be continued
 */
public record AttemptParameters(InstanceId instance, long remainingMs, int priority, Optional<String> lastEventId) {}
