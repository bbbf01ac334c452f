package org.hawthornglade.core.limit;

import java.util.Optional;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.notice.AdvertisedLimit;

/**
 * A request from an entry to the leader for permits of one rate-limited endpoint.
 *
 * @param instance the endpoint
 * @param bornMs the start time that identifies the run of the instance
 * @param limit the limit that the endpoint advertised to this entry itself, with times on this entry's steady clock;
 *     empty if the limit was relayed by the leader
 * @param calls the number of calls that wait for a permit
 * @param briefCalls the number of calls that go to another endpoint unless a permit is granted immediately
 * @param priority the priority of the most urgent waiting call; 0 is the highest
 */
public record PermitRequest(
        InstanceId instance, long bornMs, Optional<AdvertisedLimit> limit, int calls, int briefCalls, int priority) {}
