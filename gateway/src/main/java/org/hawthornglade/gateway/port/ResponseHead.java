package org.hawthornglade.gateway.port;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.hawthornglade.core.id.InstanceId;

/**
 * The information in the head of an endpoint's response.
 *
 * @param status the HTTP status
 * @param notRun whether the endpoint states that it did not run the request
 * @param impliesNotRun whether callers would conclude from the status that the request did not run
 * @param misdirected whether the request reached another instance, or an endpoint that has not loaded the model
 * @param signed whether the endpoint's signature is present; a success without it is not accepted
 * @param instance the instance that responded, if stated
 * @param load the load of the endpoint, if stated
 * @param leaving whether the endpoint announces that it leaves
 * @param retryAfterMs the time for which the endpoint accepts no calls from this entry, if stated
 * @param limitPerSecond the requests per second that the endpoint accepts from all entries together, if stated
 */
public record ResponseHead(
        int status,
        boolean notRun,
        boolean impliesNotRun,
        boolean misdirected,
        boolean signed,
        Optional<InstanceId> instance,
        Optional<ReportedLoad> load,
        boolean leaving,
        OptionalLong retryAfterMs,
        OptionalDouble limitPerSecond) {
    /**
     * The load of an endpoint.
     *
     * @param running requests in progress
     * @param waiting queued requests
     * @param slots the number of requests that can run concurrently
     * @param slowdown how long work takes at this moment relative to 1 as usual, if stated
     */
    public record ReportedLoad(int running, int waiting, int slots, OptionalDouble slowdown) {
        /** Returns the requests in flight from all entries. */
        public int requests() {
            return running + waiting;
        }
    }

    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
