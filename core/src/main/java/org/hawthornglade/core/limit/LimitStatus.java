package org.hawthornglade.core.limit;

import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.notice.AdvertisedLimit;

/**
 * The state of one rate-limited endpoint, as the leader sends it to an entry.
 *
 * @param instance the endpoint
 * @param bornMs the start time that identifies the run of the instance
 * @param limit the newest advertised limit, with times on the leader's steady clock
 * @param permits how many more requests the entry may send there, in addition to earlier permits
 * @param othersWaiting the number of calls that wait at other entries for this endpoint
 */
public record LimitStatus(InstanceId instance, long bornMs, AdvertisedLimit limit, int permits, int othersWaiting) {}
