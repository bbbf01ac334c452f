package org.hawthornglade.gateway.port;

import java.util.Optional;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.team.CallerIdentity;

/**
 * The parameters of an attempt, sent to the endpoint in addition to the caller's headers.
 *
 * @param instance the only instance that may run the request
 * @param remainingMs the time after which the endpoint stops working on it, from now
 * @param priority the priority of the call; 0 is the highest
 * @param lastEventId the event after which a stream is to be resumed
 * @param caller who sent the call
 */
public record AttemptParameters(
        InstanceId instance, long remainingMs, int priority, Optional<String> lastEventId, CallerIdentity caller) {
    /** Creates the parameters of an attempt where no teams are configured. */
    public AttemptParameters(InstanceId instance, long remainingMs, int priority, Optional<String> lastEventId) {
        this(instance, remainingMs, priority, lastEventId, CallerIdentity.NO_TEAMS);
    }
}
