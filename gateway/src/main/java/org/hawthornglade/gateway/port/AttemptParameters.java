package org.hawthornglade.gateway.port;

import java.util.Optional;
import org.hawthornglade.core.id.InstanceId;

/**
 * The parameters of an attempt, sent to the endpoint in addition to the caller's headers.
 *
 * @param instance the only instance that may run the request
 * @param remainingMs the time after which the endpoint stops working on it, from now
 * @param priority the priority of the route; 0 is the highest
 * @param lastEventId the event after which a stream is to be resumed
 */
public record AttemptParameters(InstanceId instance, long remainingMs, int priority, Optional<String> lastEventId) {}
