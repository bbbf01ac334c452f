package org.hawthornglade.core.limit;

import java.util.Optional;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.notice.AdvertisedLimit;

/**
 * What an entry tells the leader of one endpoint with a limit.
 *
 * @param instance the endpoint
 * @param bornMs the start of it that is meant
 * @param limit what the endpoint has told this entry itself, on this entry's steady clock; else nothing
 * @param calls the calls that wait for a permit
 * @param briefCalls the calls that go elsewhere if there is no permit at once
 * @param priority the rank of the most urgent of the calls that wait; 0 goes first
 */
public record PermitRequest(
        InstanceId instance, long bornMs, Optional<AdvertisedLimit> limit, int calls, int briefCalls, int priority) {}
