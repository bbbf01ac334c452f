package org.hawthornglade.gateway.port;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.hawthornglade.core.id.InstanceId;

/**
 * What the head of an endpoint's answer says.
 *
 * @param status the HTTP status
 * @param notRun whether the endpoint states that it did not run the request
 * @param impliesNotRun whether callers would take the status as a promise that the request has not run
 * @param misdirected whether the endpoint is another instance, or does not have the model
 * @param signed whether the endpoint's signature is there, without which a success counts for nothing
 * @param eventStream whether the body is a series of events
 * @param instance who answered, where it is said
 * @param load the work at the endpoint, where it is said
 * @param leaving whether the endpoint says that it leaves
 * @param retryAfterMs for how long the endpoint wants nothing from this entry, where it says so
 * @param limitPerSecond the requests a second that the endpoint takes from all entries together, where it says so
 */
public record ResponseHead(
        int status,
        boolean notRun,
        boolean impliesNotRun,
        boolean misdirected,
        boolean signed,
        boolean eventStream,
        Optional<InstanceId> instance,
        Optional<ReportedLoad> load,
        boolean leaving,
        OptionalLong retryAfterMs,
        OptionalDouble limitPerSecond) {
    /**
     * Work at an endpoint.
     *
     * @param running requests that run
     * @param waiting requests in its queue
     * @param slots how many run at once
     */
    public record ReportedLoad(int running, int waiting, int slots) {}

    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
